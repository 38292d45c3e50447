// Reads files and replaces them atomically: a reader sees either the old content or the new content, even if
// the writer fails or is killed in between.
#pragma once

#include <string>
#include <system_error>

namespace quota_gateway::net {

enum class Durability {
  kUnsynced,  // the new content survives the end of this process
  kSynced,    // it also survives a crash of the machine once replace_file() has succeeded
};

// Replaces the content of the file at `path`. Returns the error, if any. The file then keeps its old content,
// unless the error occurred while its directory was synced: the new content is then in place.
[[nodiscard]] std::error_code replace_file(const std::string& path, const std::string& content,
                                           Durability durability);

// Returns the content of the file at `path`; an empty string if the file cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

}  // namespace quota_gateway::net
