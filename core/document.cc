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
  if (text.size() > kMaxDocumentBytes) {
    return absl::InvalidArgumentError(
        Concat("document of ", text.size(), " bytes; allowed: ", kMaxDocumentBytes));
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

std::string DocumentReader::Text(const std::string& field, std::size_t most_bytes) {
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return "";
  if (value->is_string() && value->get_ref<const std::string&>().size() <= most_bytes) {
    return value->get<std::string>();
  }
  Fail(field, Concat("allowed: a text of at most ", most_bytes, " bytes"));
  return "";
}

std::vector<std::uint32_t> DocumentReader::Indices(const std::string& field,
                                                   std::uint32_t highest) {
  std::vector<std::uint32_t> indices;
  const nlohmann::json* value = Find(field);
  if (value == nullptr) return indices;
  const auto is_index = [&](const nlohmann::json& item) {
    return item.is_number_unsigned() && item.get<std::uint64_t>() <= highest;
  };
  if (!value->is_array() || !std::all_of(value->begin(), value->end(), is_index)) {
    Fail(field, Concat("allowed: a list of whole numbers from 0 to ", highest));
    return indices;
  }
  for (const nlohmann::json& item : *value) indices.push_back(item.get<std::uint32_t>());
  return indices;
}

std::vector<const nlohmann::json*> DocumentReader::Objects(const std::string& field,
                                                           std::size_t most) {
  std::vector<const nlohmann::json*> objects;
  const nlohmann::json* value = Find(field);
  if (value == nullptr || !value->is_array() || value->empty() || value->size() > most) {
    Fail(field, Concat("required; allowed: a list of 1 to ", most, " objects"));
    return objects;
  }
  for (const nlohmann::json& item : *value) objects.push_back(&item);
  return objects;
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
