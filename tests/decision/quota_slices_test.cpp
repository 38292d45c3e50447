// How much of a customer's quota one gateway admits.
#include <gtest/gtest.h>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(QuotaSlices, RequestsBeyondTheSliceAreRejectedAtOnceWithAShortRetryAfter) {
  // A burst of 20 over two gateways and no total yet: the even part.
  EngineHarness engine;
  int sent = 0, rejections = 0;
  for (int i = 0; i < 25; ++i) {
    auto out = engine.arrive(kMillisecond, numbered("r", i));
    for (const SendAttempt& attempt : actions_of<SendAttempt>(out)) {
      ++sent;
      engine.end(kMillisecond, attempt, Outcome::kOk);
    }
    for (const RejectRequest& rejection : actions_of<RejectRequest>(out)) {
      ++rejections;
      EXPECT_GT(rejection.retry_after, 0);
      EXPECT_LE(rejection.retry_after, 165 * kMillisecond);  // a third of the latency objective
    }
  }
  EXPECT_EQ(sent, 10);
  EXPECT_EQ(rejections, 15);
}

// Plays eight seconds of `own_rate` requests a second here, then thirty at once. Returns how many of these
// are admitted.
int admitted_of_a_spike_after(double own_rate, double others) {
  TwoGateways gateways(others);
  TimePoint now = 1000 * kSecond;
  for (int i = 0; i < int(8 * own_rate); ++i) {
    now += Duration(double(kSecond) / own_rate);
    gateways.run(now);
    gateways.arrive(now, numbered("q", i));
  }
  int sent = 0;
  for (int i = 0; i < 30; ++i) sent += gateways.arrive(now + 1, numbered("s", i));
  return sent;
}

TEST(QuotaSlices, TheBurstIsAdmittedOnceAndNotOncePerGateway) {
  EXPECT_NEAR(admitted_of_a_spike_after(2, 2), 10,
              2);  // of a burst of twenty, with as many at the other gateway
}

TEST(QuotaSlices, RemainingBurstIsSplitByDemand) {
  EXPECT_GE(admitted_of_a_spike_after(9, 0), 16);  // all of the customer's requests come through this gateway
}

TEST(QuotaSlices, DebtFromOvercommittedDemandIsRepaidSoon) {
  TwoGateways gateways(0);
  TimePoint now = 1000 * kSecond;
  for (int i = 0; i < 400; ++i) {  // twenty seconds at twenty a second here and as many at the other gateway
    now += 50 * kMillisecond;
    gateways.arrive_at_other(now);
    gateways.run(now);
    gateways.arrive(now, numbered("h", i));
  }
  for (int i = 0; i < 38; ++i) {  // ten with little demand, and two with all of it here
    now += (i < 20 ? 500 : 111) * kMillisecond;
    gateways.run(now);
    gateways.arrive(now, numbered("q", i));
  }
  int sent = 0;
  for (int i = 0; i < 30; ++i) sent += gateways.arrive(now + 1, numbered("s", i));
  EXPECT_GT(sent, 9);  // the burst of twenty has refilled, and there is no other demand
}

TEST(QuotaSlices, SlicesAreProportionalOnceTheTotalReachesTheQuota) {
  EXPECT_NEAR(run_admission({.other_rate = 36}).share, 10.0 / 48,
              0.06);  // a quarter of ten a second, for twelve requested
  EXPECT_NEAR(run_admission({}).share, 10.0 / 12, 0.06);
}

TEST(QuotaSlices, ASmallSliceAmongAHundredGatewaysAdmitsItsPart) {
  // One request in five seconds, of a customer that requests four times its quota through a hundred gateways.
  EXPECT_NEAR(run_admission({.other_rate = 40, .gateways = 100, .rate = 5}).share, 10.0 / 45, 0.08);
  EXPECT_GT(run_admission({.other_rate = 2, .gateways = 100, .rate = 2}).share,
            0.95);  // and all of it below the quota
}

// Sends forty requests, five a second, each through a gateway that is new to the customer, after four seconds
// of `before` requests a second at other gateways and a pause. Returns how many are admitted.
int admitted_at_new_gateways_after(double before, Duration pause) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 100;
  int sent = 0;
  for (int round = 0; round < 4; ++round) {  // at several ages of the counter name
    SharedCounter counter;
    OtherGateways rest(counter, settings, before);
    TimePoint now = 1000 * kSecond + round * 5 * kSecond;
    for (const TimePoint end = now + 4 * kSecond; now < end; now += 50 * kMillisecond) rest.run(now);
    now += pause;
    for (int g = 0; g < 10; ++g, now += 200 * kMillisecond) {
      EngineHarness engine(settings, up({"a"}), std::uint64_t(g + 1));
      RequestArrived request = EngineHarness::request("first", now);
      request.gateway_set_size = settings.gateway_count;
      for (const IncrementCounter& call : actions_of<IncrementCounter>(engine.step(now, {request})))
        sent += int(actions_of<SendAttempt>(engine.step(now, {counter.increment(call)})).size());
    }
  }
  return sent;
}

TEST(QuotaSlices, AGatewayNewToACustomerDistinguishesAnOngoingSpikeFromAPastOne) {
  EXPECT_GE(admitted_at_new_gateways_after(60, 3 * kSecond), 38);
  EXPECT_LE(admitted_at_new_gateways_after(60, 0), 24);
}

TEST(QuotaSlices, ASliceSmallerThanARequestIsAdmittedProbabilistically) {
  // Four requests a second, of a customer that requests twice its quota through forty gateways. A fortieth of
  // its burst never covers one.
  const double share = run_admission({.other_rate = 16, .gateways = 40, .rate = 4}).share;
  EXPECT_GT(share, 0.2);
  EXPECT_LT(share, 0.8);
}

TEST(QuotaSlices, WithoutAnyTotalTheSliceIsAnEvenPart) {
  EXPECT_NEAR(run_admission({.other_rate = 36, .failure = CounterOutcome::kNotAdded}).share, 5.0 / 12, 0.1);
  EXPECT_LT(run_admission({.other_rate = 36, .gateways = 100, .failure = CounterOutcome::kNotAdded}).share,
            0.05);
}

TEST(QuotaSlices, ARequestLargerThanTheSliceBurstIsNotStarved) {
  Settings settings = basic_settings();
  settings.plans[0].burst = 10;
  settings.gateway_count = 10;
  EngineHarness engine(settings);
  RequestArrived request = EngineHarness::request("r", kMillisecond, 9);
  request.gateway_set_size = 10;
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(kMillisecond, {request})).size(),
            1u);  // an even part covers one
  request.id = "s";
  request.units = 1;
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(2 * kMillisecond, {request})).size(),
            0u);  // and leaves a debt
}

TEST(QuotaSlices, UnitsSettledLaterAreChargedToTheSlice) {
  Settings settings = basic_settings();
  settings.endpoints_bill_units = true;
  EngineHarness engine(settings);
  auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  AttemptEnded ended;
  ended.id = "r";
  ended.endpoint = sent.at(0).endpoint;
  ended.request_finished = true;
  ended.billed_units = 6;  // estimated as one
  engine.step(2 * kMillisecond, {ended});
  EXPECT_EQ(engine.burst(3 * kMillisecond, 12), 4);  // of the even part, ten
}

}  // namespace
}  // namespace quota_gateway::testing
