// The decision engine as a whole: invalid input, scale and determinism.
#include <gtest/gtest.h>

#include <ctime>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(DecisionEngine, IgnoresEventsOfFinishedRequests) {
  EngineHarness engine;
  auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  engine.end_attempt(2 * kMillisecond, sent.at(0), Outcome::kOk);
  auto out = engine.end_attempt(3 * kMillisecond, sent[0], Outcome::kTimeout);
  EXPECT_TRUE(actions_of<SendAttempt>(out).empty());
  EXPECT_TRUE(
      engine
          .step(4 * kMillisecond, {RequestCancelled{"r"}, RequestCancelled{"never seen"}, TimerFired{987654}})
          .empty());
  auto late = engine.run_until(2 * kSecond);
  EXPECT_TRUE(actions_of<SendAttempt>(late).empty());
  EXPECT_TRUE(actions_of<RejectRequest>(late).empty());
}

TEST(DecisionEngine, InvalidInputNeitherCrashesNorLosesRequests) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 0;
  EngineHarness engine(settings);
  std::vector<Event> events;
  for (int i = 0; i < 1000; ++i) {
    RequestArrived request = EngineHarness::request(numbered("r", i), kSecond);
    request.gateway_set_size = i % 3 ? 1000 : -5;
    request.first_gateway_index = i % 2 ? -7 : 900;
    request.units = i % 5 ? 1 : 0;
    request.customer = numbered("c", i % 50);
    events.push_back(request);
  }
  auto out = engine.step(kSecond, events);
  auto sent = actions_of<SendAttempt>(out);
  ASSERT_FALSE(sent.empty());
  AttemptEnded ended;
  ended.id = sent[0].id;
  ended.endpoint = sent[0].endpoint;
  ended.request_finished = true;
  ended.duration = -5;
  ended.load.in_flight = 1e30;
  ended.load.queued = -3;
  auto after_end =
      engine.step(kSecond + kMillisecond, {ended, CounterReply{}, ProbeEnded{}, EndpointListUpdate{}});
  append(out, after_end);
  auto remaining = engine.run_until(4 * kSecond);
  append(out, remaining);
  std::map<std::string, int> final_responses;
  for (const RejectRequest& rejection : actions_of<RejectRequest>(out)) ++final_responses[rejection.id];
  for (const FailRequest& failure : actions_of<FailRequest>(out)) ++final_responses[failure.id];
  for (const auto& [id, count] : final_responses) EXPECT_EQ(count, 1) << id;
  std::set<std::string> attempted;
  for (const SendAttempt& attempt : actions_of<SendAttempt>(out)) attempted.insert(attempt.id);
  for (int i = 0; i < 1000; ++i)
    EXPECT_TRUE(final_responses.count(numbered("r", i)) || attempted.count(numbered("r", i))) << i;
}

TEST(DecisionEngine, OversizedRequestDoesNotDistortEstimatesOfOthers) {
  Settings settings = basic_settings();
  settings.allow_cancel = false;  // so that a slow attempt is only checked
  settings.max_request_units = 4;
  EngineHarness engine(settings);
  engine.arrive(0, "large", 100);
  RequestArrived usual = EngineHarness::request("usual", kMillisecond);
  usual.customer = "c2";
  ASSERT_EQ(actions_of<SendAttempt>(engine.step(kMillisecond, {usual})).size(), 1u);
  // Without a response, a few slowness checks are scheduled until its deadline, in addition to the timer of
  // each maintenance period.
  EXPECT_LT(actions_of<SetTimer>(engine.run_until(500 * kMillisecond)).size(), 20u);
}

TEST(DecisionEngine, SupportsAThousandGatewaysAndEndpoints) {
  constexpr int kFleetSize = 1024;
  Settings settings = settings_with_counter();
  settings.gateway_count = kFleetSize;
  settings.gateway_index = kFleetSize - 1;
  std::vector<std::string> names;
  for (int i = 0; i < kFleetSize; ++i) names.push_back(numbered("s", i));
  EngineHarness engine(settings, up(names));
  SharedCounter counter;
  std::set<std::string> used_endpoints;
  std::set<std::int64_t> counter_names;
  TimePoint now = kSecond;
  for (int i = 0; i < 2 * kFleetSize; ++i, now += kSecond) {
    RequestArrived request = EngineHarness::request(numbered("r", i), now);
    request.customer = numbered("c", i);
    request.gateway_set_size = kFleetSize;
    request.first_gateway_index = i % kFleetSize;
    auto actions = engine.step(now, {request});
    ASSERT_EQ(actions_of<IncrementCounter>(actions).size(), 1u) << i;
    const auto call = actions_of<IncrementCounter>(actions)[0];
    counter_names.insert(call.name);
    const auto sent = actions_of<SendAttempt>(engine.step(now, {counter.increment(call)}));
    ASSERT_EQ(sent.size(), 1u) << i;
    used_endpoints.insert(sent[0].endpoint);
    engine.end_attempt(now, sent[0], Outcome::kOk);
    engine.run_until(now + kSecond / 2);
  }
  EXPECT_EQ(counter_names.size(), 2u * kFleetSize);
  EXPECT_GT(used_endpoints.size(), 500u);  // independent random picks would reach about 880
  EXPECT_EQ(engine.engine().count_endpoints(now).listed, std::size_t(kFleetSize));
  EndpointListUpdate empty_list;
  engine.step(now, {empty_list});
  EXPECT_EQ(engine.engine().count_endpoints(now).listed, 0u);
}

// Returns the CPU seconds that a thousand requests take with this number of endpoints.
double cpu_seconds_of_a_thousand_requests(int endpoint_count) {
  Settings settings = basic_settings();
  settings.gateway_count = 300;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  std::vector<std::string> names;
  for (int i = 0; i < endpoint_count; ++i) names.push_back(numbered("s", i));
  EngineHarness engine(settings, up(names));
  const std::clock_t started_at = std::clock();
  TimePoint now = kSecond;
  for (int i = 0; i < 1000; ++i, now += 30 * kMillisecond) {
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.arrive(now, numbered("r", i))))
      engine.end_attempt(now + 10 * kMillisecond, attempt, Outcome::kOk, 0, 10 * kMillisecond);
    engine.run_until(now + 20 * kMillisecond);
  }
  return double(std::clock() - started_at) / CLOCKS_PER_SEC;
}

TEST(DecisionEngineCost, SixteenTimesTheEndpointsTakeLittleMoreCpuTime) {
  const double with_few_endpoints = cpu_seconds_of_a_thousand_requests(200),
               with_many_endpoints = cpu_seconds_of_a_thousand_requests(3200);
  EXPECT_LE(with_many_endpoints, 1.4 * with_few_endpoints + 0.02 + 0.03 * 3.2);
}

TEST(DecisionEngine, ServesRequestsWithUnknownPlanAndClass) {
  EngineHarness engine;
  RequestArrived request = EngineHarness::request("x", 0);
  request.plan = "no such plan";
  request.request_class = "no such class";
  request.gateway_set_size = 0;
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(0, {request})).size(), 1u);
}

TEST(DecisionEngine, SameEventsProduceTheSameActions) {
  auto run_scenario = [] {
    EngineHarness engine;
    for (int i = 0; i < 50; ++i) engine.burst(i * 30 * kMillisecond, 3);
    engine.run_until(3 * kSecond);
    std::vector<std::string> out;
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.all_actions()))
      out.push_back(attempt.id + attempt.endpoint);
    return out;
  };
  EXPECT_EQ(run_scenario(), run_scenario());
}

}  // namespace
}  // namespace quota_gateway::testing
