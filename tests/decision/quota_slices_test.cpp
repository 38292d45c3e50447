// How much of a customer's quota one gateway admits.
#include <gtest/gtest.h>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(QuotaSlices, RejectsRequestsBeyondSliceWithShortRetryAfter) {
  // The slice is half of a burst of 20 over two gateways, because there is no total yet.
  EngineHarness engine;
  int admitted = 0, rejections = 0;
  for (int i = 0; i < 25; ++i) {
    auto actions = engine.arrive(kMillisecond, numbered("r", i));
    for (const SendAttempt& attempt : actions_of<SendAttempt>(actions)) {
      ++admitted;
      engine.end_attempt(kMillisecond, attempt, Outcome::kOk);
    }
    for (const RejectRequest& rejection : actions_of<RejectRequest>(actions)) {
      ++rejections;
      EXPECT_GT(rejection.retry_after, 0);
      EXPECT_LE(rejection.retry_after, 165 * kMillisecond);  // a third of the latency objective
    }
  }
  EXPECT_EQ(admitted, 10);
  EXPECT_EQ(rejections, 15);
}

// Simulates eight seconds of `local_rate` requests per second at one of two gateways and `remote_rate` at the
// other, then thirty requests at once at the first. Returns how many of the thirty are admitted.
int admitted_from_spike_after(double local_rate, double remote_rate) {
  TwoGateways gateways(remote_rate);
  TimePoint now = 1000 * kSecond;
  for (int i = 0; i < int(8 * local_rate); ++i) {
    now += Duration(double(kSecond) / local_rate);
    gateways.run(now);
    gateways.arrive(now, numbered("q", i));
  }
  int admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += gateways.arrive(now + 1, numbered("s", i));
  return admitted;
}

TEST(QuotaSlices, SharesBurstAmongGateways) {
  // Half of a burst of twenty, because the demand at both gateways is equal.
  EXPECT_NEAR(admitted_from_spike_after(2, 2), 10, 2);
}

TEST(QuotaSlices, SplitsRemainingBurstByDemand) {
  // All of the customer's requests arrive at this gateway.
  EXPECT_GE(admitted_from_spike_after(9, 0), 16);
}

TEST(QuotaSlices, RecoversBurstSoonAfterExcessDemand) {
  TwoGateways gateways(0);
  TimePoint now = 1000 * kSecond;
  for (int i = 0; i < 400; ++i) {  // 20 s at 20 requests per second at each gateway
    now += 50 * kMillisecond;
    gateways.arrive_at_other(now);
    gateways.run(now);
    gateways.arrive(now, numbered("h", i));
  }
  for (int i = 0; i < 38; ++i) {  // 10 s at 2 requests per second, then 2 s at 9, all at this gateway
    now += (i < 20 ? 500 : 111) * kMillisecond;
    gateways.run(now);
    gateways.arrive(now, numbered("q", i));
  }
  int admitted = 0;
  for (int i = 0; i < 30; ++i) admitted += gateways.arrive(now + 1, numbered("s", i));
  EXPECT_GT(admitted, 9);  // the burst of twenty has refilled, and there is no remote demand
}

TEST(QuotaSlices, DividesQuotaByDemandWhenTotalExceedsQuota) {
  // 2.5 of 12 requests per second: a quarter of the quota, for a quarter of the demand.
  EXPECT_NEAR(run_admission({.remote_rate = 36}).admitted_fraction, 10.0 / 48, 0.06);
  EXPECT_NEAR(run_admission({}).admitted_fraction, 10.0 / 12, 0.06);
}

TEST(QuotaSlices, AdmitsProportionalShareWithHundredGateways) {
  // The customer's demand is 4.5 times its quota, with 5 of 45 requests per second at this gateway.
  EXPECT_NEAR(run_admission({.remote_rate = 40, .gateway_count = 100, .local_rate = 5}).admitted_fraction,
              10.0 / 45, 0.08);
  // Below the quota, all of the demand is admitted.
  EXPECT_GT(run_admission({.remote_rate = 2, .gateway_count = 100, .local_rate = 2}).admitted_fraction, 0.95);
}

// Sends forty requests, five per second, each through a gateway that is new to the customer, after four
// seconds of `earlier_rate` requests per second at other gateways and a pause. Returns how many are admitted.
int admitted_at_new_gateways_after(double earlier_rate, Duration pause) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 100;
  int admitted = 0;
  for (int round = 0; round < 4; ++round) {  // at several ages of the counter name
    SharedCounter counter;
    OtherGateways other_gateways(counter, settings, earlier_rate);
    TimePoint now = 1000 * kSecond + round * 5 * kSecond;
    for (const TimePoint spike_end = now + 4 * kSecond; now < spike_end; now += 50 * kMillisecond)
      other_gateways.run(now);
    now += pause;
    for (int gateway = 0; gateway < 10; ++gateway, now += 200 * kMillisecond) {
      EngineHarness engine(settings, up({"a"}), std::uint64_t(gateway + 1));
      RequestArrived request = EngineHarness::request("first", now);
      request.gateway_set_size = settings.gateway_count;
      for (const IncrementCounter& call : actions_of<IncrementCounter>(engine.step(now, {request})))
        admitted += int(actions_of<SendAttempt>(engine.step(now, {counter.increment(call)})).size());
    }
  }
  return admitted;
}

TEST(QuotaSlices, DistinguishesOngoingFromPastSpikeAtNewGateway) {
  EXPECT_GE(admitted_at_new_gateways_after(60, 3 * kSecond), 38);
  EXPECT_LE(admitted_at_new_gateways_after(60, 0), 24);
}

TEST(QuotaSlices, AdmitsProbabilisticallyWhenSliceIsSmallerThanRequest) {
  // The customer's demand is twice its quota, with 4 of 20 requests per second at this gateway. A
  // fortieth of the burst does not cover a request.
  const double admitted_fraction =
      run_admission({.remote_rate = 16, .gateway_count = 40, .local_rate = 4}).admitted_fraction;
  EXPECT_GT(admitted_fraction, 0.2);
  EXPECT_LT(admitted_fraction, 0.8);
}

TEST(QuotaSlices, UsesEqualShareWithoutTotal) {
  EXPECT_NEAR(
      run_admission({.remote_rate = 36, .counter_failure = CounterOutcome::kNotAdded}).admitted_fraction,
      5.0 / 12, 0.1);
  EXPECT_LT(
      run_admission({.remote_rate = 36, .gateway_count = 100, .counter_failure = CounterOutcome::kNotAdded})
          .admitted_fraction,
      0.05);
}

TEST(QuotaSlices, AdmitsRequestLargerThanSliceBurst) {
  Settings settings = basic_settings();
  settings.plans[0].burst = 10;
  settings.gateway_count = 10;
  EngineHarness engine(settings);
  RequestArrived request = EngineHarness::request("r", kMillisecond, 9);
  request.gateway_set_size = 10;
  // A full bucket, although smaller than the request, admits it.
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(kMillisecond, {request})).size(), 1u);
  request.id = "s";
  request.units = 1;
  // The first request has left a debt.
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(2 * kMillisecond, {request})).size(), 0u);
}

TEST(QuotaSlices, ChargesBilledUnitsToSlice) {
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
  EXPECT_EQ(engine.burst(3 * kMillisecond, 12), 4);  // of the equal share, ten
}

}  // namespace
}  // namespace quota_gateway::testing
