#include "core/settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>

#include "core/text.h"

namespace wigeonlane {
namespace {

class SettingsTest {
 protected:
  SettingsTest() { unsetenv("TEST_PORT"); }
  ~SettingsTest() { unsetenv("TEST_PORT"); }

  absl::StatusOr<ParsedCommandLine> Parse(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "program");
    return ParseCommandLine(static_cast<int>(arguments.size()), arguments.data(), specs_, "TEST_");
  }

  const std::vector<OptionSpec> specs_ = {{"help", "", "help", false, true},
                                          {"port", "80", "port"},
                                          {"name", "", "name of the instance", true}};
};

TEST_CASE_METHOD(SettingsTest, "ParseCommandLine_FlagEnvironmentDefault_FlagWins") {
  CHECK(Parse({"--name", "a"})->values.Text("port") == "80");
  setenv("TEST_PORT", "81", 1);
  CHECK(Parse({"--name", "a"})->values.Text("port") == "81");
  CHECK(Parse({"--name", "a", "--port", "82"})->values.Text("port") == "82");
}

TEST_CASE_METHOD(SettingsTest, "ParseCommandLine_UnknownOrMissing_NamesTheOption") {
  CHECK(MessageOf(Parse({"--nam", "a"}).status()).find("nam") != std::string::npos);
  CHECK(MessageOf(Parse({}).status()).find("--name") != std::string::npos);
  CHECK(MessageOf(Parse({}).status()).find("TEST_NAME") != std::string::npos);
}

TEST_CASE_METHOD(SettingsTest, "Integer_OutOfRange_NamesOptionValueAndRange") {
  const auto parsed = Parse({"--name", "a", "--port", "99999"});
  CHECK(MessageOf(parsed->values.Integer("port", 1, 65535).status()) ==
        "option --port: '99999' is not allowed; allowed: a whole number from 1 to 65535");
}

TEST_CASE_METHOD(SettingsTest, "ParseEndpoint_InvalidTexts_AreRejected") {
  for (const char* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536", "1.2.3.4:x", ":1"}) {
    CHECK_FALSE(ParseEndpoint(text).ok());
  }
  CHECK(ParseEndpoint("127.0.0.1:7700")->port == 7700);
}

TEST_CASE_METHOD(SettingsTest, "ParsePeriod_UnitsAndInvalidTexts_AreParsedOrRejected") {
  CHECK(*ParsePeriod("250ms") == std::chrono::milliseconds(250));
  CHECK(*ParsePeriod("2m") == std::chrono::minutes(2));
  for (const char* text : {"", "5", "ms", "-1s", "1.5s", "99999999999s"}) {
    CHECK_FALSE(ParsePeriod(text).ok());
  }
}

}  // namespace
}  // namespace wigeonlane
