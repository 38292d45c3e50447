// The servers as this gateway knows them: which may get attempts, how fast and how full each one looks, and
// which of them gets the next attempt. Also bounds how many attempts may be out, and what a server in slow
// start may get.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/endpoints/weighted_sampler.hpp"
#include "decision/latency_estimates.hpp"
#include "decision/numeric.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

// Work handed to a server in slow start.
struct SlowStartSend {
  Micros at = 0;
  double work = 0;  // seconds
};

// In place of the instant from which a server's slow start is counted: it has none.
constexpr Micros kWarm = 0;

struct Endpoint {
  EndpointEntry entry;
  std::size_t slot = 0;  // in the sampler
  bool told = false;     // the list has named it
  bool listed = false;
  bool usable = false;                     // listed, up
  bool disabled = false;                   // by hand
  Micros switched_at = 0;                  // out, or back, by hand
  Micros restarted_at = 0;                 // when we were told of its last start; 0: it ran before us
  Micros cold_from = kWarm;                // slow start is counted from then
  int out = 0;                             // our attempts there
  Micros busy_since = 0;                   // an answer: when we last had one, or sent with nothing out
  double ratio_sum = 0, ratio_weight = 0;  // answers' times over their class's mean, fading
  Micros ratio_at = 0;
  double others = 0;  // attempts of other gateways there, as last reported
  Micros report_at = 0;
  int links = 0;  // connections that our answered attempts left open there
  Micros link_at = 0;
  int failures = 0;  // in a row
  Micros ejected_until = 0;
  bool counted_open = false;              // by the pool
  bool on_trial = false;                  // ejected and not yet answered since
  std::vector<SlowStartSend> cold_sends;  // in the cold window
  double carried = 0;                     // work sent since the last look

  [[nodiscard]] bool open() const { return usable && !disabled; }
  template <typename F>
  void visit_fields(F f) {
    f(switched_at), f(restarted_at), f(cold_from), f(busy_since), f(ratio_sum), f(ratio_weight), f(ratio_at),
        f(failures);
    f(ejected_until), f(on_trial), f(carried);
  }
};

// What an attempt that has ended tells of its server.
struct AttemptReport {
  Outcome outcome = Outcome::kOk;
  double time_over_expected = 0;   // its time over what was expected of it
  double time_over_objective = 0;  // its time over its class's aim
  double mean_time = 0;            // us; of its class
  bool stalled = false;            // taken back by us, since its server had stopped answering
  LoadReport load;
};

class EndpointPool {
 public:
  using Filter = std::function<bool(const Endpoint&)>;

  EndpointPool(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  void update(Micros now, const EndpointListUpdate& update);
  void update(Micros now, const AdminStateChanged& event);
  // The wall clock, by which servers tell when they started, is `offset` ahead of the time told here.
  void set_wall_offset(Micros offset) { wall_offset_ = offset; }

  // The server where an attempt of so much work (seconds) should end soonest, or none with room. `mean` is
  // the class's mean answer time; `restricted` says that `allowed` leaves out more than a few servers.
  Endpoint* pick(Micros now, double work, double mean, bool restricted, const Filter& allowed);
  void on_attempt_sent(Micros now, Endpoint& server, double work);
  // True if the server is ejected for it.
  bool on_attempt_ended(Micros now, Endpoint& server, const AttemptReport& report);

  // Once a period: what a warm server of weight one was sent a second, for the cold servers' budgets; and the
  // speeds by which servers are drawn.
  void on_period(Micros now);
  // How much of the room for attempts is taken, from 0 to 1.
  double utilization(Micros now);
  [[nodiscard]] DecisionEngine::EndpointCounts count(Micros now) const;

  // A server's figures, and after them what it was sent while cold.
  void save_state(HotRestartState& out);
  void restore_endpoint(const std::string& name, const HotRestartState::Values& figures);
  template <typename F>
  void visit_fields(F f) {
    f(limit_), f(norm_), f(slow_norm_), f(base_), f(answers_), f(cut_at_), f(peer_rate_);
  }

 private:
  // One attempt that looks for a server.
  struct Search {
    double work = 0;         // seconds
    double mean = 0;         // us; its class's answer time
    double total_speed = 0;  // of all servers in use
    bool diverted = false;   // from a server that it tried before, or that it would have gone to by chance
  };
  struct Candidate {
    Endpoint* endpoint = nullptr;
    double cost = 0;
  };

  Endpoint& find(const std::string& name);
  void take_entry(Micros now, const EndpointEntry& entry);
  void start_cold(Micros now, Endpoint& server);
  void refresh(Micros now, Endpoint& server, double mean);
  void refresh_ejected(Micros now, double mean);

  [[nodiscard]] double weight(const Endpoint& s) const { return s.entry.weight > 0 ? s.entry.weight : 1; }
  [[nodiscard]] double warmth(Micros now, const Endpoint& s) const;
  [[nodiscard]] double slowness(Micros now, const Endpoint& s, double mean) const;
  [[nodiscard]] double speed(Micros now, const Endpoint& s, double mean) const;
  [[nodiscard]] double first_cold_send_after(const Endpoint& s) const;
  bool cold_covers(Micros now, Endpoint& s, double work, bool diverted);
  bool is_eligible(Micros now, Endpoint& s, double speed, const Search& search);
  Candidate candidate(Micros now, Endpoint& s, double speed) const;

  [[nodiscard]] std::size_t wanted_candidates() const;
  std::vector<Candidate> draw(Micros now, Search& search, const Filter& allowed);
  std::vector<Candidate> search_all(Micros now, const Search& search, const Filter& allowed);
  std::vector<Candidate> search_ejected(Micros now, const Search& search, const Filter& allowed);
  [[nodiscard]] Endpoint* best_of(Micros now, const std::vector<Candidate>& candidates) const;

  [[nodiscard]] double even_part() const;
  bool has_room(Micros now);
  void settle_room(Micros now);
  void adapt_limit(Micros now, const AttemptReport& report, bool timed);

  const Settings& settings_;
  Random random_;
  std::map<std::string, Endpoint> endpoints_;
  std::vector<Endpoint*> slots_;
  WeightedSampler sampler_;         // speeds of the open servers that are not ejected
  std::vector<Endpoint*> ejected_;  // may hold some whose time is over
  Micros wall_offset_ = 0;
  bool knows_fleet_ = false;  // the list has told more than what was known at the start
  Micros began_ = 0;
  int open_ = 0, ejected_open_ = 0;
  Micros fruitless_until_ = 0;  // no server had room for an unrestricted attempt; not searched again before
  double limit_ = 0, norm_ = kIdleLatencyFraction, slow_norm_ = 0, base_ = 0;
  int answers_ = 0;
  Micros cut_at_ = 0;
  double peer_rate_ = 0;
  int out_ = 0;
  bool reported_ = false;  // servers tell what they hold
  double room_ = 1;        // attempt-seconds
  Micros room_at_ = 0;
};

}  // namespace quota_gateway::decision
