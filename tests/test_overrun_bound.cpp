// The Chernoff bound on overruns: its closed form, a figure from the paper, and its limits.
#include "decision/overrun_bound.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace snowshore;

// For equal plays the minimum lies at theta = alpha - n beta / link, which gives the logarithm of the bound
// in closed form. cv is the coefficient of variation.
static double closed_form(double n, double rate, double cv, double link) {
  double alpha = 1 / (cv * cv * rate), beta = 1 / (cv * cv);
  return -(alpha * link - n * beta) + n * beta * std::log(alpha * link / (n * beta));
}

TEST_CASE("the overrun bound agrees with the closed form for equal plays") {
  struct Row {
    double plays, rate, variation, link;
  };
  for (Row row :
       {Row{4, 500, 0.5, 4000}, Row{10, 300, 0.3, 4000}, Row{1, 100, 0.5, 101}, Row{40, 90, 0.2, 4000}}) {
    RateGroup group{row.plays, row.rate, row.variation};
    double expected = closed_form(row.plays, row.rate, row.variation, row.link);
    CHECK(log_overrun_bound({&group, 1}, row.link) == Approx(expected).margin(1e-6));
    RateGroup split[] = {{row.plays / 2, row.rate, row.variation}, {row.plays / 2, row.rate, row.variation}};
    CHECK(log_overrun_bound(split, row.link) == Approx(expected).margin(1e-6));
  }
}

// Paper, section 3.1: 27 streams, a round of 1 s, seeks of 0.10932 s, mean 0.02174 s, variance 0.00011815 s2:
// 0.0103. The bound here has no term for rotation: without rotation time it lies below that figure, and with
// the longest rotation time (8.34 ms per stream) subtracted from the round it lies above.
TEST_CASE("the paper's figure lies between the bounds with the shortest and the longest rotation time") {
  double cv = std::sqrt(0.00011815) / 0.02174;
  RateGroup streams{27, 0.02174, cv};
  CHECK(std::exp(log_overrun_bound({&streams, 1}, 1 - 0.10932)) < 0.0103);
  CHECK(std::exp(log_overrun_bound({&streams, 1}, 1 - 0.10932 - 27 * 0.00834)) > 0.0103);
  RateGroup fewer{26, 0.02174, cv};
  CHECK(log_overrun_bound({&fewer, 1}, 0.78) < log_overrun_bound({&streams, 1}, 0.78));
}

TEST_CASE("the overrun bound rises with load and rate, falls with capacity, and is right at the limits") {
  double previous = -INFINITY;
  for (double plays = 1; plays < 20; ++plays) {
    RateGroup groups[] = {{plays, 200, 0.3}, {1, 800, 0.5}};
    double bound = log_overrun_bound(groups, 4000);
    CHECK(bound >= previous);
    CHECK(bound >= log_overrun_bound(groups, 4400));
    previous = bound;
  }
  RateGroup none{0, 200, 0.3}, huge{1e6, 2000, 0.3}, tiny{1, 1e-6, 0.3}, at_capacity{10, 400, 0.3};
  CHECK(log_overrun_bound({&none, 1}, 100) == -INFINITY);
  CHECK(log_overrun_bound({&none, 1}, 0) == 0);
  CHECK(log_overrun_bound({}, 100) == -INFINITY);
  CHECK(log_overrun_bound({&huge, 1}, 4000) == 0);
  // With the mean demand at capacity there is no minimum to search for.
  CHECK(log_overrun_bound({&at_capacity, 1}, 4000) == 0);
  CHECK(log_overrun_bound({&tiny, 1}, 1e9) < -1e6);
  CHECK(std::isfinite(log_overrun_bound({&tiny, 1}, 1e9)));
}
