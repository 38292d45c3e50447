// Golden trace tests: feed the decision engine a seeded stream of events through the codec of the simulator
// adapter, and compare the encoded actions byte for byte with a recorded file. Log messages are not compared.
// If the environment variable QUOTA_GATEWAY_UPDATE_FIXTURES is set, they overwrite the recorded files first.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "adapter/codec.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway {
namespace {

using wire::Json;

constexpr Duration kMillisecond = 1'000;
constexpr Duration kSecond = 1'000'000;
// In microseconds. Event times are rounded up to a multiple of it, so that batches hold several events.
constexpr Duration kBatchInterval = 500;

// The parameters of one recorded run.
struct Scenario {
  std::string name;
  Json settings;
  std::uint64_t seed = 1;
  int requests = 0;
  int customers = 1;
  int endpoints = 1;
  Duration mean_interval = 0;  // us between requests
  // Units that the other gateways add to a counter, at most, for each unit that the gateway under test adds.
  double others_demand_ratio = 0;
  int cells = 2;                  // number of cells that the endpoints are spread over
  bool blackout = false;          // all connections to endpoints fail for a while
  bool customers_change = false;  // each customer sends requests during a fraction of the run only
};

// Generates uniformly distributed numbers. Unlike the distributions of the standard library, it gives the
// same sequence with every implementation.
class UniformGenerator {
 public:
  explicit UniformGenerator(std::uint64_t seed) : engine_(seed) {}
  // Returns a number from 0 up to, but not including, 1.
  double real() { return double(engine_() >> 11) * 0x1p-53; }
  Duration between(Duration low, Duration high) { return low + Duration(real() * double(high - low)); }
  bool chance(double probability) { return real() < probability; }

 private:
  std::mt19937_64 engine_;
};

// Simulates the clients, the endpoints and the counter that a gateway communicates with, and records the
// actions of the gateway and of the successor that replaces it in a hot restart.
class Simulation {
 public:
  explicit Simulation(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    gateways_.emplace_back(wire::parse_settings(scenario.settings), scenario.seed);
    schedule_lists();
    schedule_requests();
    schedule_operations();
  }

  std::string run() {
    while (!queue_.empty()) {
      const TimePoint now = queue_.top().at;
      std::vector<std::vector<Event>> batches(gateways_.size());
      while (!queue_.empty() && queue_.top().at == now) {
        const ScheduledStep step = queue_.top();
        queue_.pop();
        if (step.operation) {
          step.operation(now);
          batches.resize(gateways_.size());
        } else if (step.gateway < batches.size()) {
          batches[step.gateway].push_back(step.event);
          ++event_count_;
        }
      }
      for (std::size_t i = 0; i < batches.size(); ++i)
        if (!batches[i].empty()) handle(now, i, batches[i]);
    }
    trace_ << "events " << event_count_ << '\n';
    return trace_.str();
  }

 private:
  struct ScheduledStep {
    TimePoint at = 0;
    std::uint64_t sequence_number = 0;
    std::size_t gateway = 0;
    Event event;
    std::function<void(TimePoint)> operation;  // run instead of passing on `event`, if set
    bool operator<(const ScheduledStep& other) const {
      return at != other.at ? at > other.at : sequence_number > other.sequence_number;
    }
  };
  struct AttemptState {
    std::string endpoint;
    bool ended = false;
  };

  static TimePoint round_up(TimePoint at) { return (at / kBatchInterval + 1) * kBatchInterval; }
  void schedule(TimePoint at, std::size_t gateway, Event event) {
    queue_.push({round_up(at), ++last_sequence_number_, gateway, std::move(event), nullptr});
  }
  void schedule_message(TimePoint at, std::size_t gateway, const Json& message) {
    const auto event = wire::parse_event(message, endpoint_lists_);
    ASSERT_TRUE(event.has_value());
    schedule(at, gateway, *event);
  }
  void schedule_operation(TimePoint at, std::function<void(TimePoint)> operation) {
    queue_.push({round_up(at), ++last_sequence_number_, 0, Event{}, std::move(operation)});
  }

  Duration end_of_requests() const { return scenario_.requests * scenario_.mean_interval; }

  Json endpoint_entry(int index, const std::string& mode = "up", Duration started_at = 0) const {
    return {{"Server", "e-" + std::to_string(index)},
            {"RackZone", index % 3 == 0 ? "b" : "a"},
            {"GenerationHw", "m1"},
            {"Cohort", index % scenario_.cells},
            {"Mode", mode},
            {"Heft", index % 4 == 1 ? 2.0 : 1.0},
            {"ReadyAtUs", started_at}};
  }
  void schedule_list(TimePoint at, const std::string& kind, const Json& entries) {
    const std::int64_t list = std::int64_t(endpoint_lists_.size());
    endpoint_lists_[list] = wire::parse_endpoint_entries(entries);
    schedule_message(at, active_gateway_,
                     {{"what", "DirectoryUpdate"}, {"Kind", kind}, {"List", list}, {"SeqNo", list}});
  }
  void schedule_lists() {
    Json all = Json::array();
    for (int i = 0; i < scenario_.endpoints; ++i) all.push_back(endpoint_entry(i));
    const TimePoint end = end_of_requests();
    schedule_list(1, "Persisted", all);
    schedule_list(20 * kMillisecond, "Complete", all);
    schedule_list(
        end / 8, "Partial",
        Json::array({endpoint_entry(0, "draining"), endpoint_entry(1, "up", end / 8 - 30 * kMillisecond)}));
    schedule_list(end / 5, "Error", Json::array());
    schedule_list(
        end / 4, "Partial",
        Json::array({endpoint_entry(0, "removed"), endpoint_entry(scenario_.endpoints, "up", end / 4)}));
    schedule_list(end / 2, "Partial", Json::array({endpoint_entry(0, "up", end / 2 - 10 * kMillisecond)}));
    all.push_back(endpoint_entry(scenario_.endpoints, "up", end / 4));
    all[2] = endpoint_entry(2, "up", end * 5 / 8);
    schedule_list(end * 5 / 8, "Complete", all);
  }

  void schedule_requests() {
    TimePoint at = 50 * kMillisecond;
    for (int i = 0; i < scenario_.requests; ++i) {
      // Overload in the third quarter of the requests: they arrive at four times the rate.
      const bool overload = i > scenario_.requests / 2 && i < scenario_.requests * 3 / 4;
      at += random_.between(1, 2 * scenario_.mean_interval / (overload ? 4 : 1));
      schedule_operation(at, [this, i](TimePoint now) { send_request(now, i); });
    }
  }
  void send_request(TimePoint now, int index) {
    const Json& classes = scenario_.settings.at("Classes");
    const Json& plans = scenario_.settings.at("TiersOfService");
    const double skewed = random_.real() * random_.real();  // some customers send far more than others
    const int first = scenario_.customers_change ? index * scenario_.customers / scenario_.requests : 0;
    const int customer = first + int(skewed * scenario_.customers);
    const Json& request_class = classes[std::size_t(random_.real() * double(classes.size()))];
    const std::string id = "r-" + std::to_string(index);
    const TimePoint deadline = now + Duration(request_class.at("GiveUpUs"));
    const Json message = {
        {"what", "Knock"},
        {"Id", id},
        {"Member", "customer-" + std::to_string(customer)},
        {"GradeOfService", plans[std::size_t(customer) % plans.size()].at("Name")},
        {"Service", index % 97 == 0 ? "unlisted" : request_class.at("Name").get<std::string>()},
        {"CostUnits", 1.0 + double(int(random_.real() * 4))},
        {"GiveUpAtUs", deadline},
        {"SetSize", customer % 2 == 0 ? 0 : 2},
        {"FromNo", customer % 3},
        {"AgainByClient", random_.chance(0.1)}};
    gateway_by_request_[id] = active_gateway_;
    if (random_.chance(0.1)) {
      Event event = *wire::parse_event(message, endpoint_lists_);
      auto& arrived = std::get<RequestArrived>(event);
      arrived.body_pending = true;
      arrived.deadline = now + 60 * kSecond;
      schedule(now, active_gateway_, event);
      const TimePoint complete = now + random_.between(kMillisecond, 300 * kMillisecond);
      schedule(complete, active_gateway_,
               RequestBodyCompleted{id, complete + Duration(request_class.at("GiveUpUs"))});
    } else {
      schedule_message(now, active_gateway_, message);
    }
    if (random_.chance(0.03))
      schedule_message(now + random_.between(1, 200 * kMillisecond), active_gateway_,
                       {{"what", "TimedOutClient"}, {"Id", id}});
  }

  void schedule_operations() {
    const TimePoint end = end_of_requests();
    schedule(end * 3 / 10, 0, AdminStateChanged{"e-3", true});
    schedule(end * 4 / 10, 0, AdminStateChanged{"e-3", false});
    schedule(end * 45 / 100, 0, WallClockStepped{3 * kSecond});
    // The first successor ends before it takes over; the second one replaces the gateway.
    schedule_operation(end * 55 / 100,
                       [this](TimePoint now) { record_state(now, gateways_[0].begin_hot_restart(now)); });
    schedule(end * 56 / 100, 0, HotRestartAborted{});
    schedule_operation(end * 7 / 10, [this](TimePoint now) { replace_gateway(now); });
  }
  void record_state(TimePoint now, const HotRestartState& state) {
    const auto counts = gateways_[0].count_endpoints(now);
    trace_ << "endpoints " << counts.listed << ' ' << counts.excluded << '\n';
    trace_
        << Json{{"customers", state.customers}, {"servers", state.endpoints}, {"fleet", state.fleet}}.dump()
        << '\n';
  }
  void replace_gateway(TimePoint now) {
    const HotRestartState state = gateways_[0].begin_hot_restart(now);
    record_state(now, state);
    gateways_.emplace_back(wire::parse_settings(scenario_.settings), scenario_.seed + 1);
    active_gateway_ = 1;
    Json all = Json::array();
    for (int i = 0; i <= scenario_.endpoints; ++i) all.push_back(endpoint_entry(i));
    schedule_list(now, "Persisted", all);
    schedule(now, 1, WallClockStepped{3 * kSecond});
    schedule(now, 1, StateRestored{state});
    schedule_predecessor_attempts(now);
  }
  void schedule_predecessor_attempts(TimePoint now) {
    const auto in_flight = gateways_[0].attempts_in_flight();
    schedule(now, 1, PredecessorAttempts{in_flight});
    if (in_flight.empty()) return;
    schedule_operation(now + 50 * kMillisecond,
                       [this](TimePoint later) { schedule_predecessor_attempts(later); });
  }

  void handle(TimePoint now, std::size_t gateway, const std::vector<Event>& events) {
    std::vector<Action> actions;
    gateways_[gateway].handle(now, events, actions);
    Json written = Json::array();
    for (const Action& action : actions) {
      if (std::holds_alternative<LogMessage>(action)) continue;
      written.push_back(wire::write_action(action));
      std::visit([&](const auto& typed_action) { execute(now, gateway, typed_action); }, action);
    }
    if (!written.empty()) trace_ << now << ' ' << gateway << ' ' << written.dump() << '\n';
  }

  // Returns the message that ends an attempt at an endpoint. Sets `duration` to its length in us.
  Json attempt_result(TimePoint now, const std::string& id, const std::string& endpoint, Duration timeout,
                      Duration& duration) {
    const double progress = double(now) / double(end_of_requests());
    const int index = std::stoi(endpoint.substr(2));
    const double slowness = index % 5 == 2 && progress > 0.3 && progress < 0.5 ? 12 : 1;
    const double load = 1 + double(in_flight_by_endpoint_[endpoint]) / 4;
    duration = Duration(double(random_.between(4 * kMillisecond, 40 * kMillisecond)) * slowness * load);
    std::string outcome = "GOOD";
    if (index % 5 == 4 && progress > 0.2 && progress < 0.6 && random_.chance(0.8)) outcome = "BAD";
    if (index % 7 == 3 && random_.chance(0.1)) outcome = "FULL";
    const double fault = random_.real();
    if (fault < 0.01) outcome = "RST";
    if (fault > 0.01 && fault < 0.02) outcome = "NOCONN";
    if (fault > 0.02 && fault < 0.025) outcome = "NOP";
    if (fault > 0.03 && fault < 0.05) duration = 60 * kSecond;
    if (scenario_.blackout && progress > 0.72 && progress < 0.8) outcome = "NOCONN";
    if (outcome != "GOOD" && outcome != "BAD") duration = random_.between(500, 5 * kMillisecond);
    if (timeout > 0 && duration > timeout) {
      outcome = "LATE";
      duration = timeout;
    }
    Json feedback = nullptr;
    if (index % 2 == 0) feedback = {{"active", in_flight_by_endpoint_[endpoint] + 1.0}, {"waiting", 0.0}};
    return {{"what", "Response"},
            {"Id", id},
            {"Go", 0},
            {"Server", endpoint},
            {"Disposition", outcome},
            {"DurationUs", duration},
            {"Over", outcome == "GOOD"},
            {"Billed", random_.chance(0.5) ? 2.5 : 0.0},
            {"Feedback", feedback}};
  }

  void execute(TimePoint now, std::size_t gateway, const SendAttempt& action) {
    auto& attempts = attempts_[action.id];
    const int attempt = int(attempts.size());
    attempts.push_back({action.endpoint, false});
    ++in_flight_by_endpoint_[action.endpoint];
    Duration duration = 0;
    Json response = attempt_result(now, action.id, action.endpoint, action.timeout, duration);
    response["Go"] = attempt;
    if (response.at("Disposition") == "GOOD" && random_.chance(0.1)) {
      ResponseStarted started;
      started.id = action.id;
      started.attempt = attempt;
      started.endpoint = action.endpoint;
      started.duration = random_.chance(0.5) ? duration / 2 : 0;
      started.billed_units = 1.5;
      schedule(now + duration / 2, gateway, started);
    }
    schedule_operation(now + duration, [this, gateway, id = action.id, attempt, response](TimePoint later) {
      end_attempt(later, gateway, id, attempt, response);
    });
  }
  void end_attempt(TimePoint now, std::size_t gateway, const std::string& id, int attempt,
                   const Json& response) {
    AttemptState& attempt_state = attempts_.at(id).at(std::size_t(attempt));
    if (attempt_state.ended) return;
    attempt_state.ended = true;
    --in_flight_by_endpoint_[attempt_state.endpoint];
    Event event = *wire::parse_event(response, endpoint_lists_);
    std::get<AttemptEnded>(event).replayable = !random_.chance(0.02);
    schedule(now, gateway, event);
  }
  void execute(TimePoint now, std::size_t gateway, const CancelAttempt& action) {
    end_attempt(now, gateway, action.id, action.attempt,
                {{"what", "Response"},
                 {"Id", action.id},
                 {"Go", action.attempt},
                 {"Server", attempts_.at(action.id).at(std::size_t(action.attempt)).endpoint},
                 {"Disposition", "CXL"},
                 {"DurationUs", 10 * kMillisecond}});
  }
  void execute(Duration, std::size_t, const RejectRequest&) {}
  void execute(Duration, std::size_t, const FailRequest&) {}
  void execute(Duration, std::size_t gateway, const SetTimer& action) {
    if (action.at > end_of_requests() + 10 * kSecond) return;
    schedule_message(action.at, gateway, {{"what", "Alarm"}, {"Label", action.token}});
  }
  void execute(Duration, std::size_t, const SendProbe&) {}
  void execute(TimePoint now, std::size_t gateway, const IncrementCounter& action) {
    const double progress = double(now) / double(end_of_requests());
    const bool counter_down = progress > 0.62 && progress < 0.68;
    const bool total_lost = progress > 0.35 && progress < 0.40;
    double& total = counter_totals_[action.name];
    total = (total_lost ? 0 : total) + action.amount * (1 + scenario_.others_demand_ratio * random_.real());
    Duration duration = random_.between(kMillisecond, 30 * kMillisecond);
    std::string outcome = "GOOD";
    if (counter_down) outcome = random_.chance(0.5) ? "LATE" : "NOCONN";
    if (!counter_down && random_.chance(0.02)) outcome = "FULL";
    if (outcome == "LATE") duration = 50 * kMillisecond;
    schedule_message(now + duration, gateway,
                     {{"what", "CounterReply"},
                      {"Cname", action.name},
                      {"Total", total},
                      {"DurationUs", duration},
                      {"Disposition", outcome}});
  }
  void execute(TimePoint now, std::size_t, const SubscribeToEndpoints&) {
    Json all = Json::array();
    for (int i = 0; i < scenario_.endpoints; ++i) all.push_back(endpoint_entry(i));
    schedule_list(now + 15 * kMillisecond, "Complete", all);
  }
  void execute(Duration, std::size_t, const LogMessage&) {}

  const Scenario& scenario_;
  UniformGenerator random_;
  std::vector<DecisionEngine> gateways_;
  std::size_t active_gateway_ = 0;  // index of the gateway that receives new requests
  wire::EndpointLists endpoint_lists_;
  std::priority_queue<ScheduledStep> queue_;
  std::uint64_t last_sequence_number_ = 0;
  std::map<std::string, std::size_t> gateway_by_request_;
  std::map<std::string, std::vector<AttemptState>> attempts_;
  std::map<std::string, int> in_flight_by_endpoint_;
  std::map<std::int64_t, double> counter_totals_;
  std::ostringstream trace_;
  std::uint64_t event_count_ = 0;
};

// Returns the settings of the gateway at index 1 of `gateway_count`, merged with `overrides`.
Json make_settings(int gateway_count, const Json& overrides) {
  Json result = Json::parse(R"({"Az":"a","Position":1,"TickUs":1000,
    "Classes":[
      {"Name":"read","ObjectiveUs":200000,"GiveUpUs":2000000,"Importance":1.0,"Repeat":"safe"},
      {"Name":"write","ObjectiveUs":400000,"GiveUpUs":3000000,"Importance":4.0,"LateValue":0.3,"Repeat":"keyed",
       "DedupScope":"cell","WindowUs":2000000},
      {"Name":"zoned","ObjectiveUs":300000,"GiveUpUs":1500000,"Importance":2.0,"Repeat":"keyed",
       "DedupScope":"zone","WindowUs":1000000},
      {"Name":"pay","ObjectiveUs":800000,"GiveUpUs":4000000,"Importance":9.0,"LateValue":0.5,"Repeat":"unsafe"},
      {"Name":"feed","ObjectiveUs":250000,"GiveUpUs":2500000,"Importance":0.5,"Repeat":"safe","Stream":true}],
    "TiersOfService":[
      {"Name":"basic","QuotaRate":6,"Depth":12,"ValueFactor":1.0,"OverrunCost":1.0},
      {"Name":"pro","QuotaRate":40,"Depth":80,"ValueFactor":2.0,"NeverOverRate":50,"HardBurst":100,
       "ExcessWorth":0.6,"OverrunCost":0.2},
      {"Name":"open","MaxOut":6,"ValueFactor":1.5,"OverrunCost":1.0}],
    "Limits":{"MaxAttempts":3,"DialTimeoutUs":100000,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterUs":2000000},
    "Extra":{"SharedCounter":true,"CounterTimeoutUs":50000,"Largest":4.0},
    "Obligations":{"ColdShare":0.2,"ColdUs":20000000,"TipMultiple":2.0,"TipAfterUs":3000000}})");
  result["ReplicasOfMe"] = gateway_count;
  result.merge_patch(overrides);
  return result;
}

void check_golden_trace(const Scenario& scenario) {
  const std::string path = std::string(FIXTURE_DIRECTORY) + "/golden_trace/" + scenario.name + ".txt";
  const std::string trace = Simulation(scenario).run();
  if (std::getenv("QUOTA_GATEWAY_UPDATE_FIXTURES") != nullptr) std::ofstream(path) << trace;
  std::ifstream file(path);
  std::stringstream recorded;
  recorded << file.rdbuf();
  ASSERT_FALSE(recorded.str().empty()) << path;
  if (recorded.str() == trace) return;
  std::istringstream expected_lines(recorded.str()), actual_lines(trace);
  std::string expected, actual;
  for (int line = 1; expected == actual; ++line) {
    expected.clear();
    actual.clear();
    const bool has_line =
        bool(std::getline(expected_lines, expected)) | bool(std::getline(actual_lines, actual));
    ASSERT_TRUE(has_line) << path << ": differs only in the line break at the end of the file";
    EXPECT_EQ(expected, actual) << path << ", line " << line;
  }
}

TEST(GoldenTrace, FewGatewaysWithCounter) {
  check_golden_trace({.name = "few_gateways",
                      .settings = make_settings(3, {{"Limits", {{"MayDuplicate", true}}}}),
                      .seed = 11,
                      .requests = 1500,
                      .customers = 9,
                      .endpoints = 6,
                      .mean_interval = 8 * kMillisecond,
                      .others_demand_ratio = 1.5});
}

TEST(GoldenTrace, ManyGatewaysWithoutHedging) {
  check_golden_trace({.name = "many_gateways",
                      .settings = make_settings(40, Json::object()),
                      .seed = 12,
                      .requests = 1200,
                      .customers = 40,
                      .endpoints = 24,
                      .mean_interval = 30 * kMillisecond,
                      .others_demand_ratio = 30});
}

TEST(GoldenTrace, ManyEndpointsInSmallCells) {
  check_golden_trace({.name = "many_endpoints",
                      .settings = make_settings(2, Json::object()),
                      .seed = 15,
                      .requests = 900,
                      .customers = 60,
                      .endpoints = 120,
                      .mean_interval = 4 * kMillisecond,
                      .others_demand_ratio = 1,
                      .cells = 40});
}

TEST(GoldenTrace, ChangingCustomersAndBlackout) {
  check_golden_trace({.name = "blackout",
                      .settings = make_settings(2, Json::object()),
                      .seed = 16,
                      .requests = 1000,
                      .customers = 12,
                      .endpoints = 5,
                      .mean_interval = 160 * kMillisecond,
                      .others_demand_ratio = 0.1,
                      .blackout = true,
                      .customers_change = true});
}

TEST(GoldenTrace, SubscriptionOnRequestAndBilledUnits) {
  check_golden_trace({.name = "settled_later",
                      .settings = make_settings(2, {{"MembershipMode", "on_request"},
                                                    {"Extra", {{"CostAfter", true}}},
                                                    {"Limits", {{"MayCancel", false}}}}),
                      .seed = 13,
                      .requests = 1200,
                      .customers = 6,
                      .endpoints = 4,
                      .mean_interval = 6 * kMillisecond,
                      .others_demand_ratio = 0.8});
}

TEST(GoldenTrace, NoCounterAndNoSlowStart) {
  check_golden_trace({.name = "no_counter",
                      .settings = make_settings(
                          12, {{"Extra", {{"SharedCounter", false}}}, {"Obligations", {{"ColdUs", 0}}}}),
                      .seed = 14,
                      .requests = 800,
                      .customers = 5,
                      .endpoints = 9,
                      .mean_interval = 10 * kMillisecond,
                      .others_demand_ratio = 0});
}

}  // namespace
}  // namespace quota_gateway
