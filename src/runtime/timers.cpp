#include "runtime/timers.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace quota_gateway::net {

bool Timers::Entry::operator<(const Entry& other) const {
  if (due_at != other.due_at) return due_at > other.due_at;
  return sequence_number > other.sequence_number;
}

void Timers::schedule_at(TimePoint due_at, Callback callback) {
  heap_.push_back({due_at, ++last_sequence_number_, std::move(callback)});
  std::push_heap(heap_.begin(), heap_.end());
  arm_timer();
}

void Timers::schedule_after(Duration delay, Callback callback) {
  schedule_at(clock_.now() + delay, std::move(callback));
}

void Timers::arm_timer() {
  if (heap_.empty()) return;
  const TimePoint first_due_at = heap_.front().due_at;
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
  while (!heap_.empty() && heap_.front().due_at <= now) {
    std::pop_heap(heap_.begin(), heap_.end());
    due.push_back(std::move(heap_.back()));
    heap_.pop_back();
  }
  return due;
}

void Timers::run_callbacks(std::vector<Entry> entries) {
  for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
    try {
      entry->callback();
    } catch (...) {
      // Reschedules the remaining callbacks, which would otherwise be lost.
      for (++entry; entry != entries.end(); ++entry) schedule_at(entry->due_at, std::move(entry->callback));
      throw;
    }
  }
}

}  // namespace quota_gateway::net
