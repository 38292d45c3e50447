#include <gtest/gtest.h>

#include "adapter/simulator_host.hpp"

namespace quota_gateway::wire {
namespace {

TEST(SimulatorHost, RepliesToEmptyBatchWithEmptyReply) {
  SimulatorHost host;
  EXPECT_EQ(*host.process_line(R"({"ClockUs":1,"parts":[]})"), R"({"parts":[]})");
}

TEST(SimulatorHost, ThrowsOnMalformedInput) {
  SimulatorHost host;
  EXPECT_ANY_THROW(host.process_line("[]"));
  EXPECT_ANY_THROW(host.process_line("{"));
  EXPECT_ANY_THROW(
      host.process_line(R"({"ClockUs":1,"parts":[{"Who":"gateway-0","input":[{"what":"Knock"}]}]})"));
  EXPECT_ANY_THROW(host.process_line(
      R"({"ClockUs":1,"parts":[{"Who":"g","input":[{"what":"Response","Id":"t/a","Go":0,"Disposition":"?"}]}]})"));
}

TEST(Codec, ParsesSettingsAndIgnoresUnknownOnes) {
  const Settings settings =
      parse_settings(Json::parse(R"({"Az":"z","New":{"x":[1]},"ReplicasOfMe":3,"Position":2,
    "Classes":[{"Name":"c","ObjectiveUs":5,"GiveUpUs":9,"Repeat":"keyed","DedupScope":"zone","WindowUs":7}],
    "TiersOfService":[{"Name":"p","QuotaRate":4.2,"Depth":19,"MaxOut":2,"NeverOverRate":8,"HardBurst":40}],
    "Limits":{"MaxAttempts":4,"MayCancel":true},"Extra":{"SharedCounter":true,"CounterTimeoutUs":80000},
    "Obligations":{"ColdShare":0.2,"TipMultiple":4.0,"TipAfterUs":3000000}})"));
  EXPECT_EQ(settings.zone, "z");
  EXPECT_EQ(settings.gateway_count, 3);
  EXPECT_EQ(settings.classes.at(0).idempotency, Idempotency::kByKey);
  EXPECT_EQ(settings.classes[0].dedup_scope, DedupScope::kZone);
  EXPECT_EQ(settings.classes[0].dedup_window, 7);
  EXPECT_DOUBLE_EQ(settings.plans.at(0).rate, 4.2);
  EXPECT_EQ(settings.plans[0].max_concurrent_attempts, 2);
  EXPECT_TRUE(settings.has_counter && settings.allow_cancel);
  EXPECT_EQ(settings.slow_start_window, 3000000);
}

TEST(Codec, ParsesEventsAndIgnoresUnknownOnes) {
  const auto event = parse_event(
      Json::parse(R"({"what":"Response","Id":"t/a","Billed":null,"DurationUs":18500,"Over":true,"Usage":86,
      "Server":"s","Go":1,"Disposition":"RST","Feedback":{"active":7,"cpu":0.62,"odd":1},"more":0})"),
      {});
  const auto& attempt_ended = std::get<AttemptEnded>(*event);
  EXPECT_EQ(attempt_ended.attempt, 1);
  EXPECT_EQ(attempt_ended.outcome, Outcome::kReset);
  EXPECT_EQ(attempt_ended.quota_percent_plus_one, 86);
  EXPECT_DOUBLE_EQ(attempt_ended.load.in_flight, 7);
  EXPECT_LT(attempt_ended.load.queued, 0);
  EXPECT_FALSE(parse_event(Json::parse(R"({"what":"Datagram","From":1,"Raw":"00"})"), {}).has_value());
}

TEST(Codec, WritesActions) {
  EXPECT_EQ(write_action(RejectRequest{"t/a", 0}), Json::parse(R"({"what":"Reject","Id":"t/a"})"));
  EXPECT_EQ(write_action(SendAttempt{"t/a", "s", 5}),
            Json::parse(R"({"what":"Send","Id":"t/a","Server":"s","TryForUs":5})"));
  EXPECT_EQ(write_action(IncrementCounter{9, 4, 3}),
            Json::parse(R"({"what":"Tally","Cname":9,"Amount":4.0,"ForgetAfterUs":3})"));
}

TEST(SimulatorHost, ResolvesEndpointListsAndStopsEngineOnKill) {
  SimulatorHost host;
  EXPECT_FALSE(host.process_line(R"({"what":"Pool","List":0,"Entries":[{"Server":"s1"}]})").has_value());
  const std::string reply = *host.process_line(R"({"ClockUs":1,"parts":[{"Who":"gateway-0","input":[
    {"what":"Enlist","Entropy":5,"Info":{}},{"what":"DirectoryUpdate","Kind":"Persisted","SeqNo":1,"List":0},
    {"what":"Knock","Id":"t/a","GiveUpAtUs":2000000,"Member":"m"}]}]})");
  EXPECT_NE(reply.find(R"("Server":"s1")"), std::string::npos);
  EXPECT_EQ(*host.process_line(R"({"ClockUs":2,"parts":[{"Who":"gateway-0","input":[{"what":"Kill"}]}]})"),
            R"({"parts":[]})");
}

}  // namespace
}  // namespace quota_gateway::wire
