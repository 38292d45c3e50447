// Golden trace: drives the decision engine through the JSON adapter's parser and writer with a seeded stream
// of events, and compares every action byte for byte with a recorded file. Only log texts are left out.
// QUOTA_GATEWAY_UPDATE_FIXTURES=1 records the files anew.
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
constexpr Duration kOneSecond = 1'000'000;
constexpr Duration kBatchInterval = 500;  // us; events are rounded up to it, so that batches hold several

// Everything that differs between the recorded runs.
struct Scenario {
  std::string name;
  Json settings;
  std::uint64_t seed = 1;
  int requests = 0;
  int customers = 1;
  int endpoints = 1;
  Duration mean_interval = 0;     // us between requests
  double others_demand = 0;       // units that the other gateways add to a counter, over ours
  int cells = 2;                  // into which the endpoints are split
  bool blackout = false;          // no endpoint can be reached for a while
  bool customers_change = false;  // each customer asks for a part of the time only
};

// Uniform numbers whose sequence does not depend on the standard library.
class UniformSource {
 public:
  explicit UniformSource(std::uint64_t seed) : engine_(seed) {}
  double real() { return double(engine_() >> 11) * 0x1p-53; }
  Duration between(Duration low, Duration high) { return low + Duration(real() * double(high - low)); }
  bool chance(double probability) { return real() < probability; }

 private:
  std::mt19937_64 engine_;
};

// The endpoints, clients and counter that the recorded gateways meet.
class RecordedWorld {
 public:
  explicit RecordedWorld(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    gateways_.emplace_back(wire::parse_settings(scenario.settings), scenario.seed);
    plan_lists();
    plan_requests();
    plan_operations();
  }

  std::string run() {
    while (!agenda_.empty()) {
      const TimePoint now = agenda_.top().at;
      std::vector<std::vector<Event>> batches(gateways_.size());
      while (!agenda_.empty() && agenda_.top().at == now) {
        const Planned planned = agenda_.top();
        agenda_.pop();
        if (planned.operation) {
          planned.operation(now);
          batches.resize(gateways_.size());
        } else if (planned.gateway < batches.size()) {
          batches[planned.gateway].push_back(planned.event);
          ++events_;
        }
      }
      for (std::size_t i = 0; i < batches.size(); ++i)
        if (!batches[i].empty()) handle(now, i, batches[i]);
    }
    trace_ << "events " << events_ << '\n';
    return trace_.str();
  }

 private:
  struct Planned {
    TimePoint at = 0;
    std::uint64_t order = 0;
    std::size_t gateway = 0;
    Event event;
    std::function<void(TimePoint)> operation;  // in place of an event
    bool operator<(const Planned& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct OpenAttempt {
    std::string endpoint;
    bool ended = false;
  };

  static TimePoint round_up(TimePoint at) { return (at / kBatchInterval + 1) * kBatchInterval; }
  void plan(TimePoint at, std::size_t gateway, Event event) {
    agenda_.push({round_up(at), ++order_, gateway, std::move(event), nullptr});
  }
  void plan_json(TimePoint at, std::size_t gateway, const Json& message) {
    const auto event = wire::parse_event(message, pools_);
    ASSERT_TRUE(event.has_value());
    plan(at, gateway, *event);
  }
  void plan_operation(TimePoint at, std::function<void(TimePoint)> operation) {
    agenda_.push({round_up(at), ++order_, 0, Event{}, std::move(operation)});
  }

  Duration end_of_requests() const { return scenario_.requests * scenario_.mean_interval; }

  Json entry(int index, const std::string& mode = "up", Duration started_at = 0) const {
    return {{"Server", "e-" + std::to_string(index)},
            {"RackZone", index % 3 == 0 ? "b" : "a"},
            {"GenerationHw", "m1"},
            {"Cohort", index % scenario_.cells},
            {"Mode", mode},
            {"Heft", index % 4 == 1 ? 2.0 : 1.0},
            {"ReadyAtUs", started_at}};
  }
  void plan_list(TimePoint at, const std::string& kind, const Json& entries) {
    const std::int64_t list = std::int64_t(pools_.size());
    pools_[list] = wire::parse_endpoint_entries(entries);
    plan_json(at, current_, {{"what", "DirectoryUpdate"}, {"Kind", kind}, {"List", list}, {"SeqNo", list}});
  }
  void plan_lists() {
    Json all = Json::array();
    for (int i = 0; i < scenario_.endpoints; ++i) all.push_back(entry(i));
    const TimePoint end = end_of_requests();
    plan_list(1, "Persisted", all);
    plan_list(20 * kMillisecond, "Complete", all);
    plan_list(end / 8, "Partial",
              Json::array({entry(0, "draining"), entry(1, "up", end / 8 - 30 * kMillisecond)}));
    plan_list(end / 5, "Error", Json::array());
    plan_list(end / 4, "Partial",
              Json::array({entry(0, "removed"), entry(scenario_.endpoints, "up", end / 4)}));
    plan_list(end / 2, "Partial", Json::array({entry(0, "up", end / 2 - 10 * kMillisecond)}));
    all.push_back(entry(scenario_.endpoints, "up", end / 4));
    all[2] = entry(2, "up", end * 5 / 8);
    plan_list(end * 5 / 8, "Complete", all);
  }

  void plan_requests() {
    TimePoint at = 50 * kMillisecond;
    for (int i = 0; i < scenario_.requests; ++i) {
      // Overload in the third quarter: requests come four times as fast.
      const bool overload = i > scenario_.requests / 2 && i < scenario_.requests * 3 / 4;
      at += random_.between(1, 2 * scenario_.mean_interval / (overload ? 4 : 1));
      plan_operation(at, [this, i](TimePoint now) { request(now, i); });
    }
  }
  void request(TimePoint now, int index) {
    const Json& classes = scenario_.settings.at("Classes");
    const Json& plans = scenario_.settings.at("TiersOfService");
    const double skewed = random_.real() * random_.real();  // some customers ask much more than others
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
    owner_[id] = current_;
    if (random_.chance(0.1)) {
      Event event = *wire::parse_event(message, pools_);
      auto& arrived = std::get<RequestArrived>(event);
      arrived.body_pending = true;
      arrived.deadline = now + 60 * kOneSecond;
      plan(now, current_, event);
      const TimePoint complete = now + random_.between(kMillisecond, 300 * kMillisecond);
      plan(complete, current_, RequestBodyCompleted{id, complete + Duration(request_class.at("GiveUpUs"))});
    } else {
      plan_json(now, current_, message);
    }
    if (random_.chance(0.03))
      plan_json(now + random_.between(1, 200 * kMillisecond), current_,
                {{"what", "TimedOutClient"}, {"Id", id}});
  }

  void plan_operations() {
    const TimePoint end = end_of_requests();
    plan(end * 3 / 10, 0, AdminStateChanged{"e-3", true});
    plan(end * 4 / 10, 0, AdminStateChanged{"e-3", false});
    plan(end * 45 / 100, 0, WallClockStepped{3 * kOneSecond});
    // A successor that dies before it has served, and then one that takes over.
    plan_operation(end * 55 / 100,
                   [this](TimePoint now) { record_state(now, gateways_[0].begin_hot_restart(now)); });
    plan(end * 56 / 100, 0, HotRestartAborted{});
    plan_operation(end * 7 / 10, [this](TimePoint now) { replace_gateway(now); });
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
    current_ = 1;
    Json all = Json::array();
    for (int i = 0; i <= scenario_.endpoints; ++i) all.push_back(entry(i));
    plan_list(now, "Persisted", all);
    plan(now, 1, WallClockStepped{3 * kOneSecond});
    plan(now, 1, StateRestored{state});
    plan_predecessor_attempts(now);
  }
  void plan_predecessor_attempts(TimePoint now) {
    const auto open = gateways_[0].attempts_in_flight();
    plan(now, 1, PredecessorAttempts{open});
    if (open.empty()) return;
    plan_operation(now + 50 * kMillisecond, [this](TimePoint later) { plan_predecessor_attempts(later); });
  }

  void handle(TimePoint now, std::size_t gateway, const std::vector<Event>& events) {
    std::vector<Action> actions;
    gateways_[gateway].handle(now, events, actions);
    Json written = Json::array();
    for (const Action& action : actions) {
      if (std::holds_alternative<LogMessage>(action)) continue;
      written.push_back(wire::write_action(action));
      std::visit([&](const auto& a) { act(now, gateway, a); }, action);
    }
    if (!written.empty()) trace_ << now << ' ' << gateway << ' ' << written.dump() << '\n';
  }

  // How one attempt at an endpoint ends, and after how long.
  Json ending(TimePoint now, const std::string& id, const std::string& endpoint, Duration timeout,
              Duration& duration) {
    const double progress = double(now) / double(end_of_requests());
    const int index = std::stoi(endpoint.substr(2));
    const double slowness = index % 5 == 2 && progress > 0.3 && progress < 0.5 ? 12 : 1;
    const double load = 1 + double(open_at_[endpoint]) / 4;
    duration = Duration(double(random_.between(4 * kMillisecond, 40 * kMillisecond)) * slowness * load);
    std::string outcome = "GOOD";
    if (index % 5 == 4 && progress > 0.2 && progress < 0.6 && random_.chance(0.8)) outcome = "BAD";
    if (index % 7 == 3 && random_.chance(0.1)) outcome = "FULL";
    const double fault = random_.real();
    if (fault < 0.01) outcome = "RST";
    if (fault > 0.01 && fault < 0.02) outcome = "NOCONN";
    if (fault > 0.02 && fault < 0.025) outcome = "NOP";
    if (fault > 0.03 && fault < 0.05) duration = 60 * kOneSecond;
    if (scenario_.blackout && progress > 0.72 && progress < 0.8) outcome = "NOCONN";
    if (outcome != "GOOD" && outcome != "BAD") duration = random_.between(500, 5 * kMillisecond);
    if (timeout > 0 && duration > timeout) {
      outcome = "LATE";
      duration = timeout;
    }
    Json feedback = nullptr;
    if (index % 2 == 0) feedback = {{"active", open_at_[endpoint] + 1.0}, {"waiting", 0.0}};
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

  void act(TimePoint now, std::size_t gateway, const SendAttempt& action) {
    auto& attempts = attempts_[action.id];
    const int attempt = int(attempts.size());
    attempts.push_back({action.endpoint, false});
    ++open_at_[action.endpoint];
    Duration duration = 0;
    Json response = ending(now, action.id, action.endpoint, action.timeout, duration);
    response["Go"] = attempt;
    if (response.at("Disposition") == "GOOD" && random_.chance(0.1)) {
      ResponseStarted started;
      started.id = action.id;
      started.attempt = attempt;
      started.endpoint = action.endpoint;
      started.duration = random_.chance(0.5) ? duration / 2 : 0;
      started.billed_units = 1.5;
      plan(now + duration / 2, gateway, started);
    }
    plan_operation(now + duration, [this, gateway, id = action.id, attempt, response](TimePoint later) {
      end_attempt(later, gateway, id, attempt, response);
    });
  }
  void end_attempt(TimePoint now, std::size_t gateway, const std::string& id, int attempt,
                   const Json& response) {
    OpenAttempt& open = attempts_.at(id).at(std::size_t(attempt));
    if (open.ended) return;
    open.ended = true;
    --open_at_[open.endpoint];
    Event event = *wire::parse_event(response, pools_);
    std::get<AttemptEnded>(event).replayable = !random_.chance(0.02);
    plan(now, gateway, event);
  }
  void act(TimePoint now, std::size_t gateway, const CancelAttempt& action) {
    end_attempt(now, gateway, action.id, action.attempt,
                {{"what", "Response"},
                 {"Id", action.id},
                 {"Go", action.attempt},
                 {"Server", attempts_.at(action.id).at(std::size_t(action.attempt)).endpoint},
                 {"Disposition", "CXL"},
                 {"DurationUs", 10 * kMillisecond}});
  }
  void act(Duration, std::size_t, const RejectRequest&) {}
  void act(Duration, std::size_t, const FailRequest&) {}
  void act(Duration, std::size_t gateway, const SetTimer& action) {
    if (action.at > end_of_requests() + 10 * kOneSecond) return;
    plan_json(action.at, gateway, {{"what", "Alarm"}, {"Label", action.token}});
  }
  void act(Duration, std::size_t, const SendProbe&) {}
  void act(TimePoint now, std::size_t gateway, const IncrementCounter& action) {
    const double progress = double(now) / double(end_of_requests());
    const bool down = progress > 0.62 && progress < 0.68;
    const bool forgot = progress > 0.35 && progress < 0.40;
    double& total = totals_[action.name];
    total = (forgot ? 0 : total) + action.amount * (1 + scenario_.others_demand * random_.real());
    Duration duration = random_.between(kMillisecond, 30 * kMillisecond);
    std::string outcome = "GOOD";
    if (down) outcome = random_.chance(0.5) ? "LATE" : "NOCONN";
    if (!down && random_.chance(0.02)) outcome = "FULL";
    if (outcome == "LATE") duration = 50 * kMillisecond;
    plan_json(now + duration, gateway,
              {{"what", "CounterReply"},
               {"Cname", action.name},
               {"Total", total},
               {"DurationUs", duration},
               {"Disposition", outcome}});
  }
  void act(TimePoint now, std::size_t, const SubscribeToEndpoints&) {
    Json all = Json::array();
    for (int i = 0; i < scenario_.endpoints; ++i) all.push_back(entry(i));
    plan_list(now + 15 * kMillisecond, "Complete", all);
  }
  void act(Duration, std::size_t, const LogMessage&) {}

  const Scenario& scenario_;
  UniformSource random_;
  std::vector<DecisionEngine> gateways_;
  std::size_t current_ = 0;  // the gateway that takes new requests
  wire::EndpointLists pools_;
  std::priority_queue<Planned> agenda_;
  std::uint64_t order_ = 0;
  std::map<std::string, std::size_t> owner_;
  std::map<std::string, std::vector<OpenAttempt>> attempts_;
  std::map<std::string, int> open_at_;
  std::map<std::int64_t, double> totals_;
  std::ostringstream trace_;
  std::uint64_t events_ = 0;
};

Json settings(int gateways, const Json& more) {
  Json out = Json::parse(R"({"Az":"a","Position":1,"TickUs":1000,
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
  out["ReplicasOfMe"] = gateways;
  out.merge_patch(more);
  return out;
}

void check_golden_trace(const Scenario& scenario) {
  const std::string path = std::string(FIXTURE_DIRECTORY) + "/golden_trace/" + scenario.name + ".txt";
  const std::string trace = RecordedWorld(scenario).run();
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
    const bool more = bool(std::getline(expected_lines, expected)) | bool(std::getline(actual_lines, actual));
    ASSERT_TRUE(more) << path << ": the texts differ only in their last line's end";
    EXPECT_EQ(expected, actual) << path << ", line " << line;
  }
}

TEST(GoldenTrace, FewGatewaysWithCounter) {
  check_golden_trace({.name = "few_gateways",
                      .settings = settings(3, {{"Limits", {{"MayDuplicate", true}}}}),
                      .seed = 11,
                      .requests = 1500,
                      .customers = 9,
                      .endpoints = 6,
                      .mean_interval = 8 * kMillisecond,
                      .others_demand = 1.5});
}

TEST(GoldenTrace, ManyGatewaysWithoutHedging) {
  check_golden_trace({.name = "many_gateways",
                      .settings = settings(40, Json::object()),
                      .seed = 12,
                      .requests = 1200,
                      .customers = 40,
                      .endpoints = 24,
                      .mean_interval = 30 * kMillisecond,
                      .others_demand = 30});
}

TEST(GoldenTrace, ManyEndpointsInSmallCells) {
  check_golden_trace({.name = "many_endpoints",
                      .settings = settings(2, Json::object()),
                      .seed = 15,
                      .requests = 900,
                      .customers = 60,
                      .endpoints = 120,
                      .mean_interval = 4 * kMillisecond,
                      .others_demand = 1,
                      .cells = 40});
}

TEST(GoldenTrace, CustomersThatComeAndGoAndABlackout) {
  check_golden_trace({.name = "blackout",
                      .settings = settings(2, Json::object()),
                      .seed = 16,
                      .requests = 1000,
                      .customers = 12,
                      .endpoints = 5,
                      .mean_interval = 160 * kMillisecond,
                      .others_demand = 0.1,
                      .blackout = true,
                      .customers_change = true});
}

TEST(GoldenTrace, EndpointsOnRequestAndUnitsSettledLater) {
  check_golden_trace({.name = "settled_later",
                      .settings = settings(2, {{"MembershipMode", "on_request"},
                                               {"Extra", {{"CostAfter", true}}},
                                               {"Limits", {{"MayCancel", false}}}}),
                      .seed = 13,
                      .requests = 1200,
                      .customers = 6,
                      .endpoints = 4,
                      .mean_interval = 6 * kMillisecond,
                      .others_demand = 0.8});
}

TEST(GoldenTrace, NoCounterAndNoSlowStart) {
  check_golden_trace(
      {.name = "no_counter",
       .settings = settings(12, {{"Extra", {{"SharedCounter", false}}}, {"Obligations", {{"ColdUs", 0}}}}),
       .seed = 14,
       .requests = 800,
       .customers = 5,
       .endpoints = 9,
       .mean_interval = 10 * kMillisecond,
       .others_demand = 0});
}

}  // namespace
}  // namespace quota_gateway
