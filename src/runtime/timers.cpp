#include "runtime/timers.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace quota_gateway::net {

TimerId Timers::schedule_at(TimePoint due_at, Callback callback) {
  const TimerId id{due_at, ++last_sequence_number_};
  pending_.emplace(id, std::move(callback));
  arm_timer();
  return id;
}

TimerId Timers::schedule_after(Duration delay, Callback callback) {
  return schedule_at(clock_.now() + delay, std::move(callback));
}

void Timers::arm_timer() {
  if (pending_.empty()) return;
  const TimePoint first_due_at = pending_.begin()->first.due_at;
  if (armed_for_ && *armed_for_ <= first_due_at) return;
  armed_for_ = first_due_at;
  timer_.expires_after(std::chrono::microseconds(std::max<Duration>(0, first_due_at - clock_.now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) run_due_callbacks();  // An error means that the timer was re-armed for an earlier time.
  });
}

void Timers::run_due_callbacks() {
  armed_for_.reset();
  std::vector<Entry> due = take_due_entries();
  arm_timer();  // Before the callbacks run, because one of them may throw.
  run_callbacks(std::move(due));
}

std::vector<Timers::Entry> Timers::take_due_entries() {
  const TimePoint now = clock_.now();
  std::vector<Entry> due;
  while (!pending_.empty() && pending_.begin()->first.due_at <= now) {
    auto node = pending_.extract(pending_.begin());
    due.emplace_back(node.key(), std::move(node.mapped()));
  }
  return due;
}

void Timers::run_callbacks(std::vector<Entry> entries) {
  for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
    try {
      entry->second();
    } catch (...) {
      // Reschedules the remaining callbacks, which would otherwise be lost.
      for (++entry; entry != entries.end(); ++entry)
        schedule_at(entry->first.due_at, std::move(entry->second));
      throw;
    }
  }
}

}  // namespace quota_gateway::net
