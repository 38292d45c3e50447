// Replaces files whole, so that a reader finds the old text or the new one, whatever fails or is killed.
#pragma once

#include <string>

namespace quota_gateway::net {

// kDurable: the text outlives the machine's crash once replace_file() has returned true.
enum class Durability { kProcess, kDurable };

// False if anything failed; the file is then as it was.
bool replace_file(const std::string& path, const std::string& text, Durability durability);

}  // namespace quota_gateway::net
