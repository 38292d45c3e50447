// Limits retries and hedged attempts to a fraction of the requests, so that they cannot amplify an overload.
#pragma once

namespace quota_gateway::decision {

// A token bucket that first attempts fill. A retry or hedged attempt that may repeat work consumes one token.
class RetryBudget {
 public:
  void on_first_attempt();
  [[nodiscard]] bool has_token() const { return tokens_ >= 1; }
  void consume_token() { tokens_ -= 1; }

  // Part of the serialized state; see DecisionEngine::Impl::visit_fields for why the order is fixed.
  template <typename Visitor>
  void visit_fields(Visitor visit) {
    visit(tokens_);
  }

 private:
  static constexpr double kMaxTokens = 10;               // attempts
  static constexpr double kTokensPerFirstAttempt = 0.1;  // attempts

  double tokens_ = kMaxTokens;
};

}  // namespace quota_gateway::decision
