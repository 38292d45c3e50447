// Counts the memory of a parsed HTTP head against the memory budget.
#pragma once

#include <boost/beast/http/message.hpp>
#include <cstddef>

#include "network/body_budget.hpp"

namespace quota_gateway::net {

// The memory that a parser holds for the fields of one head.
class HeadMemory {
 public:
  explicit HeadMemory(BodyBudget& budget) : share_(budget) {}

  // Counts the fields of a complete head.
  template <typename Message>
  void count(const Message& message) {
    std::size_t bytes = 0;
    for (const auto& field : message.base())
      bytes += kBytesPerField + field.name_string().size() + field.value().size();
    share_.set(bytes);
  }
  // Counts nothing from now on, because the parser is destroyed.
  void release() { share_.set(0); }

 private:
  // Of the parser for each field, in addition to its name and its value.
  static constexpr std::size_t kBytesPerField = 96;

  BodyBudget::Share share_;
};

}  // namespace quota_gateway::net
