// Reads files and replaces them atomically: a reader finds either the old content or the new one,
// whatever fails or is killed in between.
#pragma once

#include <string>
#include <system_error>

namespace quota_gateway::net {

enum class Durability {
  kProcess,  // the new content survives the end of this process
  kDurable,  // it also survives a crash of the machine, once replace_file() has succeeded
};

// Replaces the content of the file at `path`. On an error the file has its old content, unless the error
// arose from making a new content durable.
[[nodiscard]] std::error_code replace_file(const std::string& path, const std::string& content,
                                           Durability durability);

// Returns the content of the file at `path`; empty if it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

}  // namespace quota_gateway::net
