// Draws slots at random by weight; a change of one weight and a draw take logarithmic time (a Fenwick tree).
#pragma once

#include <cstddef>
#include <vector>

namespace quota_gateway::decision {

class WeightedSampler {
 public:
  // The number of the new slot, whose weight is 0.
  std::size_t add_slot();
  void set(std::size_t slot, double weight);
  // Weights of all slots at once, in linear time; also clears what rounding has left behind.
  void assign(std::vector<double> weights);
  [[nodiscard]] double weight(std::size_t slot) const { return weights_[slot]; }
  [[nodiscard]] double total() const { return prefix(weights_.size()); }
  // The slot on which `point` falls, for a point from 0 up to, and without, total().
  [[nodiscard]] std::size_t find(double point) const;

 private:
  [[nodiscard]] double prefix(std::size_t count) const;

  std::vector<double> weights_;
  std::vector<double> tree_;  // tree_[i - 1] sums the weights of the (i & -i) slots that end at i
};

}  // namespace quota_gateway::decision
