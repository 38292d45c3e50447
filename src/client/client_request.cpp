#include "client/client_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

constexpr Duration kMaxTimeout = 3600'000'000;  // us
constexpr double kMaxQuotaInfoValue = 1e6;      // larger values are reduced to this limit
constexpr std::size_t kCustomerIdLength = 16;   // hexadecimal digits

// Parses a finite, non-negative number. `header` names the header field in the error.
double parse_number(std::string_view text, const char* header) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || ptr != end || !std::isfinite(value) || value < 0)
    throw BadRequest(std::string("bad ") + header);
  return value;
}

// Parses a number that is followed by its unit: `m` for milliseconds, `u` for microseconds. Returns
// microseconds, at most kMaxTimeout.
Duration parse_timeout(std::string_view text) {
  if (text.size() < 2) throw BadRequest("bad X-Expires-In");
  const char unit = text.back();
  if (unit != 'm' && unit != 'u') throw BadRequest("bad X-Expires-In");
  const double microseconds_per_unit = unit == 'm' ? 1000 : 1;
  const double value = parse_number(text.substr(0, text.size() - 1), "X-Expires-In") * microseconds_per_unit;
  return Duration(std::min(value, double(kMaxTimeout)));
}

// Parses one `name=value` field of Quota-Info; unknown names are ignored.
void parse_quota_field(std::string_view field, double max_request_units, RequestArrived& arrived) {
  const auto equals_sign = field.find('=');
  if (equals_sign == std::string_view::npos) throw BadRequest("bad Quota-Info");
  const std::string_view name = field.substr(0, equals_sign);
  const double value =
      std::min(parse_number(field.substr(equals_sign + 1), "Quota-Info"), kMaxQuotaInfoValue);
  if (name == "units") {
    // An implausibly high cost would be added to the customer's total over all gateways, where it would make
    // the cost of every other request negligible.
    if (value <= 0 || value > max_request_units) throw BadRequest("bad Quota-Info");
    arrived.units = value;
  }
  if (name == "spread") arrived.gateway_set_size = int(value);
  if (name == "first") arrived.first_gateway_index = int(value);
}

// Parses the comma-separated fields of Quota-Info.
void parse_quota_info(std::string_view text, double max_request_units, RequestArrived& arrived) {
  arrived.gateway_set_size = 0;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    std::string_view field = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    field.remove_prefix(std::min(field.find_first_not_of(' '), field.size()));
    parse_quota_field(field, max_request_units, arrived);
  }
}

bool is_customer_id(std::string_view text) {
  return text.size() == kCustomerIdLength &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

// Takes the class from the first segment of the path and the customer from the last one.
void parse_path(std::string_view target, RequestArrived& arrived) {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto last_slash = path.rfind('/');
  if (path.empty() || path[0] != '/' || last_slash == 0) throw BadRequest("bad path");
  arrived.request_class = std::string(path.substr(1, path.find('/', 1) - 1));
  arrived.customer = std::string(path.substr(last_slash + 1));
  if (!is_customer_id(arrived.customer)) throw BadRequest("no customer in the path");
}

const ClassSettings& find_class(const Settings& settings, const std::string& name) {
  const auto found = std::find_if(settings.classes.begin(), settings.classes.end(),
                                  [&](const ClassSettings& candidate) { return candidate.name == name; });
  if (found == settings.classes.end()) throw BadRequest("no such class");
  return *found;
}

}  // namespace

ClientRequest parse_request(const RequestParser& message, const Settings& settings) {
  ClientRequest request;
  RequestArrived& arrived = request.arrived;
  OutgoingRequest& outgoing = request.outgoing;
  const std::string_view target = message.target();
  parse_path(target, arrived);

  const ClassSettings& request_class = find_class(settings, arrived.request_class);
  const bool is_idempotent = request_class.idempotency == Idempotency::kIdempotent;
  const http::verb expected_method = is_idempotent ? http::verb::get : http::verb::post;
  if (message.method() != expected_method) throw BadRequest("the method does not fit the class");

  outgoing.trace_id = std::string(message.field("X-Trace-Id"));
  if (outgoing.trace_id.empty()) throw BadRequest("no X-Trace-Id");
  outgoing.idempotency_key = std::string(message.field("Idempotency-Key"));
  if (request_class.idempotency == Idempotency::kByKey && outgoing.idempotency_key.empty())
    throw BadRequest("no Idempotency-Key");

  const std::string_view expires_in = message.field("X-Expires-In");
  request.timeout = expires_in.empty() ? request_class.client_timeout : parse_timeout(expires_in);
  arrived.plan = std::string(message.field("Plan"));
  parse_quota_info(message.field("Quota-Info"), settings.max_request_units, arrived);
  arrived.client_retry = message.field("X-Second-Try") == "1";
  outgoing.method = std::string(expected_method == http::verb::get ? "GET" : "POST");
  outgoing.target = std::string(target);
  outgoing.host = std::string(message.field("Host"));
  return request;
}

}  // namespace quota_gateway::net
