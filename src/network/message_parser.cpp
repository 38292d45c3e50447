#include "network/message_parser.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace quota_gateway::net {
namespace {

boost::beast::string_view to_beast(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

std::size_t SelectedFields::find(std::string_view name) const {
  const auto found = std::find_if(names_.begin(), names_.end(), [&](std::string_view candidate) {
    return boost::beast::iequals(to_beast(candidate), to_beast(name));
  });
  return std::size_t(found - names_.begin());
}

void SelectedFields::add(std::string_view name, std::string_view value) {
  const std::size_t index = find(name);
  if (index == names_.size() || ranges_.at(index).is_set) return;
  ranges_.at(index) = {.offset = text_.size(), .size = value.size(), .is_set = true};
  text_.append(value);
}

std::string_view SelectedFields::operator[](std::string_view name) const {
  const std::size_t index = find(name);
  if (index == names_.size()) return {};
  const Range& range = ranges_.at(index);
  return std::string_view(text_.bytes()).substr(range.offset, range.size);
}

}  // namespace quota_gateway::net
