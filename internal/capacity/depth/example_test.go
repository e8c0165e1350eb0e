package depth_test

import (
	"fmt"
	"strings"
	"time"

	"beammux/internal/capacity/depth"
)

// Five attempts, as in the platform's settings, and retry budgets of different ratios.
func ExampleAmplify() {
	fmt.Println("levels  unbounded  ratio 0.2  ratio 0.1  ratio 0.05  nearest alone")
	for _, levels := range []int{1, 2, 3, 5, 10, depth.Levels} {
		amplify := func(ratio float64) depth.Amplification { return depth.Amplify(levels, 5, ratio) }
		fmt.Printf("%6d  %9.3g  %9.2f  %9.2f  %10.2f  %.2f\n", levels, amplify(0).Unbounded, amplify(0.2).Budgeted, amplify(0.1).Budgeted,
			amplify(0.05).Budgeted, amplify(0.1).NearestRatio)
	}
	fmt.Printf("ratio for at most twice as many at 19 levels: %.4f\n", depth.RatioFor(depth.Levels, 2))
	// Output:
	// levels  unbounded  ratio 0.2  ratio 0.1  ratio 0.05  nearest alone
	//      1          5       1.20       1.10        1.05  1.10
	//      2         25       1.44       1.21        1.10  1.10
	//      3        125       1.73       1.33        1.16  1.10
	//      5   3.12e+03       2.49       1.61        1.28  1.10
	//     10   9.77e+06       6.19       2.59        1.63  1.10
	//     19   1.91e+13      31.95       6.12        2.53  1.10
	// ratio for at most twice as many at 19 levels: 0.0372
}

// A class with a deadline of 9 s: the first level that works after the first caller's deadline (0: none), and the remaining time
// that the last level assumes.
func ExampleDeadlines() {
	const deadline = 9 * time.Second
	fmt.Println("spent at a level   milliseconds     whole seconds    class deadline")
	for _, spent := range []time.Duration{50, 430, 600, 1000} {
		line := fmt.Sprintf("%13d ms", spent)
		for _, propagation := range []depth.DeadlinePropagation{depth.RemainingMilliseconds, depth.RemainingSeconds, depth.ClassDeadline} {
			all := depth.Deadlines(depth.Levels, deadline, spent*time.Millisecond, propagation)
			line += fmt.Sprintf("   %2d, %6v   ", depth.FirstWasted(all), all[depth.Levels-1].Assumed)
		}
		fmt.Println(strings.TrimRight(line, " "))
	}
	// Output:
	// spent at a level   milliseconds     whole seconds    class deadline
	//            50 ms    0,   8.1s       0,     9s       0,     9s
	//           430 ms    0,  1.26s       0,     9s       0,     9s
	//           600 ms    0,     0s      16,     9s      16,     9s
	//          1000 ms    0,     0s       0,     0s      10,     9s
}
