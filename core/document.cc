#include "core/document.h"

#include <fmt/ranges.h>

#include <algorithm>

#include "core/settings.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kLongestName = 128;
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kLongestName &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

}  // namespace

absl::StatusOr<nlohmann::json> ParseJson(std::string_view text) {
  if (text.size() > kLongestDocument) {
    return absl::InvalidArgumentError(
        Concat("document of ", text.size(), " bytes; allowed: ", kLongestDocument));
  }
  nlohmann::json value = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) return absl::InvalidArgumentError("not a JSON document");
  return value;
}

DocumentReader::DocumentReader(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.is_object()) {
    status_ = absl::InvalidArgumentError(Concat(path_, ": not a JSON object"));
  }
}

const nlohmann::json* DocumentReader::Find(const std::string& field) {
  seen_.insert(field);
  if (!object_.is_object()) return nullptr;
  const auto found = object_.find(field);
  return found == object_.end() ? nullptr : &*found;
}

void DocumentReader::Fail(const std::string& field, std::string_view problem) {
  if (!status_.ok()) return;
  status_ = absl::InvalidArgumentError(Concat(path_, ".", field, ": ", problem));
}

std::string DocumentReader::Name(const std::string& field) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr || !value->is_string() || !IsName(value->get<std::string>())) {
    Fail(field, "required; allowed: 1 to 128 letters, digits, '.', '_' or '-'");
    return "";
  }
  return value->get<std::string>();
}

std::string DocumentReader::Choice(const std::string& field,
                                   std::initializer_list<std::string_view> allowed,
                                   std::string_view fallback) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return std::string(fallback);
  const bool known = value->is_string() && std::find(allowed.begin(), allowed.end(),
                                                     value->get<std::string>()) != allowed.end();
  if (known) return value->get<std::string>();
  Fail(field, Concat("allowed: ", fmt::format("{}", fmt::join(allowed, ", "))));
  return std::string(fallback);
}

std::int64_t DocumentReader::Integer(const std::string& field, std::int64_t lowest,
                                     std::int64_t highest, std::optional<std::int64_t> fallback) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr && fallback.has_value()) return *fallback;
  const bool whole = value != nullptr && value->is_number_integer();
  const bool fits = whole && (!value->is_number_unsigned() ||
                              value->get<std::uint64_t>() <= static_cast<std::uint64_t>(highest));
  if (fits && value->get<std::int64_t>() >= lowest && value->get<std::int64_t>() <= highest) {
    return value->get<std::int64_t>();
  }
  Fail(field, Concat("allowed: a whole number from ", lowest, " to ", highest));
  return fallback.value_or(lowest);
}

bool DocumentReader::Boolean(const std::string& field, bool fallback) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  Fail(field, "allowed: true or false");
  return fallback;
}

std::chrono::milliseconds DocumentReader::Period(const std::string& field,
                                                 std::chrono::milliseconds lowest,
                                                 std::chrono::milliseconds highest,
                                                 std::chrono::milliseconds fallback) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    const auto period = ParsePeriod(value->get<std::string>());
    if (period.ok() && *period >= lowest && *period <= highest) return *period;
  }
  Fail(field, Concat("allowed: a duration such as \"250ms\" or \"2s\", from ", lowest.count(),
                     "ms to ", highest.count(), "ms"));
  return fallback;
}

std::vector<std::string> DocumentReader::Names(const std::string& field) {
  std::vector<std::string> names;
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return names;
  if (!value->is_array()) {
    Fail(field, "allowed: a list of names");
    return names;
  }
  for (const nlohmann::json& item : *value) {
    if (!item.is_string() || !IsName(item.get<std::string>())) {
      Fail(Concat(field, "[", names.size(), "]"),
           "allowed: 1 to 128 letters, digits, '.', '_' or '-'");
      return names;
    }
    names.push_back(item.get<std::string>());
  }
  return names;
}

absl::Status DocumentReader::Finish() {
  if (!status_.ok() || !object_.is_object()) return status_;
  for (const auto& [field, value] : object_.items()) {
    if (!seen_.contains(field)) {
      return absl::InvalidArgumentError(Concat(path_, ".", field, ": unknown field; allowed: ",
                                               fmt::format("{}", fmt::join(seen_, ", "))));
    }
  }
  return absl::OkStatus();
}

}  // namespace wigeonlane
