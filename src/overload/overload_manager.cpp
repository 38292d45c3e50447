#include "overload/overload_manager.hpp"

namespace quota_gateway::net {
namespace {

constexpr Duration kLogInterval = 1'000'000;  // us

struct ActionSettings {
  OverloadAction action = OverloadAction::kReduceReads;
  const char* name = "";
  double activation_share = 0;  // of the memory limit
};

// The program, its libraries and the allocator's own need the part of the memory above the last share.
constexpr std::array<ActionSettings, kOverloadActionCount> kActions = {{
    {OverloadAction::kReduceReads, "reduce reads", 0.17},
    {OverloadAction::kStopAccepting, "stop accepting", 0.32},
    {OverloadAction::kRejectRequests, "reject requests", 0.35},
    {OverloadAction::kCloseUnfinished, "close unfinished", 0.38},
    {OverloadAction::kResetRequestsInProgress, "reset requests in progress", 0.48},
}};
// An action ends once the use has fallen by this share of the limit.
constexpr double kHysteresisShare = 0.03;

constexpr double kBytesPerMegabyte = 1 << 20;

std::string megabytes(std::size_t bytes) {
  std::string text = std::to_string(double(bytes) / kBytesPerMegabyte);
  return text.substr(0, text.find('.') + 2);
}

}  // namespace

std::size_t OverloadManager::activation_bytes(OverloadAction action) const {
  return std::size_t(kActions.at(std::size_t(action)).activation_share * double(memory_limit_));
}

std::size_t OverloadManager::deactivation_bytes(OverloadAction action) const {
  return activation_bytes(action) - std::size_t(kHysteresisShare * double(memory_limit_));
}

std::optional<std::string> OverloadManager::update(TimePoint now, std::size_t used_bytes) {
  used_bytes_ = used_bytes;
  for (const ActionSettings& settings : kActions)
    if (update_action(settings.action)) has_unreported_change_ = true;
  const bool is_report_due = !reported_at_ || now - *reported_at_ >= kLogInterval;
  if (!has_unreported_change_ || !is_report_due) return std::nullopt;
  has_unreported_change_ = false;
  reported_at_ = now;
  return describe();
}

bool OverloadManager::update_action(OverloadAction action) {
  ActionState& state = state_of(action);
  const bool was_active = state.is_active;
  state.is_active = used_bytes_ >= (was_active ? deactivation_bytes(action) : activation_bytes(action));
  if (state.is_active && !was_active) ++state.activations;
  return state.is_active != was_active;
}

std::size_t OverloadManager::excess_bytes(OverloadAction action) const {
  const std::size_t target = deactivation_bytes(action);
  return is_active(action) && used_bytes_ >= target ? used_bytes_ - target + 1 : 0;
}

std::string OverloadManager::describe() const {
  std::string text =
      "overload: " + megabytes(used_bytes_) + " MB in use of " + megabytes(memory_limit_) + " MB";
  for (const ActionSettings& settings : kActions) {
    const ActionState& state = state_of(settings.action);
    if (state.activations == 0) continue;
    text += std::string("; ") + settings.name + (state.is_active ? " active" : " ended") + ", " +
            std::to_string(state.activations) + " times, applied " + std::to_string(state.applied);
  }
  return text;
}

}  // namespace quota_gateway::net
