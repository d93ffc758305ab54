/// Tests the decoders of the platform's files and messages: valid input is decoded, malformed input
/// is rejected. A decoder that accepted it would act on wrong settings, jobs or reports.
#include <catch2/catch.hpp>
#include <string>

#include "core/codec.h"
#include "platform/advisor_client.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/machine_client.h"
#include "platform/runner_gateway.h"
#include "platform/settings_file.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class WireTest {
 protected:
  /// Returns a valid settings file.
  static std::string Settings() {
    return "NodeId=front-1\nZone=uio-norte\nIp=10.1.0.9\nListen.Front=10.1.0.9:8624\n"
           "Listen.Ready=10.1.0.9:8622\nInternalPorts=7060,7075\nplatform.Address=10.2.0.7:8621\n"
           "platform.parts=8\nBounds.GraceS=6\nBounds.MaxHoldMs=4000\nSomething.New=x\n";
  }

  /// Returns valid settings without the line of `key`.
  static std::string SettingsWithout(const std::string& key) {
    std::string text = Settings();
    const std::size_t begin = text.find(key + "=");
    text.erase(begin, text.find('\n', begin) - begin + 1);
    return text;
  }
};

TEST_CASE_METHOD(WireTest, "Settings_ValidFile_GivesAddressesAndBounds") {
  const auto settings = ParsePlatformSettings(Settings());
  REQUIRE(settings.ok());
  CHECK(settings->instance == "front-1");
  CHECK(settings->peers.ToString() == "10.1.0.9:7060");
  CHECK(settings->metrics.ToString() == "10.1.0.9:7061");
  CHECK(settings->shutdown_grace == milliseconds(6'000));
  CHECK(settings->cell.lease == milliseconds(4'000));
  CHECK_FALSE(settings->machines.has_value());
}

TEST_CASE_METHOD(WireTest, "Settings_RequiredKeyMissing_ErrorNamesKey") {
  for (const char* key : {"NodeId", "Zone", "Listen.Front", "Listen.Ready", "InternalPorts",
                          "platform.Address", "Ip"}) {
    const auto settings = ParsePlatformSettings(SettingsWithout(key));
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find(key) != std::string::npos);
  }
}

TEST_CASE_METHOD(WireTest, "Settings_MalformedValue_ErrorNamesKey") {
  for (const char* line : {"Bounds.GraceS=soon", "platform.parts=0", "InternalPorts=70",
                           "Listen.Front=nowhere", "Bounds.LeaseMs=-5"}) {
    const std::string text = line;
    const std::string key = text.substr(0, text.find('='));
    const auto settings = ParsePlatformSettings(Settings() + text + "\n");
    REQUIRE_FALSE(settings.ok());
    CHECK(std::string(settings.status().message()).find(key) != std::string::npos);
  }
}

TEST_CASE_METHOD(WireTest, "Settings_MachineApiRates_AreReadOnlyWithMachineApi") {
  const std::string address = "CloudApi.Address=10.1.0.7:80\n";
  const std::string rates = "CloudApi.DutyPerS=590.0\nCloudApi.RatePerS=120\n";
  const auto settings = ParsePlatformSettings(Settings() + address + rates);
  REQUIRE(settings.ok());
  CHECK(settings->machine_commands_per_second == 590);
  CHECK(settings->machine_reads_per_second == 120);
  CHECK(ParsePlatformSettings(Settings() + "CloudApi.DutyPerS=0\n").ok());
  CHECK_FALSE(ParsePlatformSettings(Settings() + address + "CloudApi.DutyPerS=0\n").ok());
}

TEST_CASE_METHOD(WireTest, "Job_ValidBody_KeepsEveryField") {
  const auto job = DecodeJob(
      R"({"Spec":"s","Times":2,"StartAtMs":5,"PeriodMs":7,"Steps":[{"Count":4,"Cpu":500,"MemMb":256,
      "Gpus":1,"EstimateMs":900,"Affinity":"r1-3","Requirements":"a","AntiAffinity":2,"Image":"i",
      "TargetMs":40,"Fills":true,"MayMiss":1,"LongRunning":true},{"Count":2,"After":[0],"Gang":true,
      "SameRack":true,"Speculative":true,"Checkpointing":true}]})");
  REQUIRE(job.ok());
  CHECK(job->times == 2);
  CHECK(job->steps[0].preferred_rack == "r1-3");
  CHECK(job->steps[0].required_label == "a");
  CHECK(job->steps[0].max_per_runner == 2);
  CHECK(job->steps[0].max_unavailable == 1);
  CHECK(job->steps[0].tail_target == milliseconds(40));
  CHECK(job->steps[0].Load().cpu_milli == 0);
  CHECK(job->steps[1].gang);
  CHECK(job->steps[1].after == std::vector<std::uint32_t>{0});
}

TEST_CASE_METHOD(WireTest, "Job_MalformedBody_IsRejected") {
  for (const char* body :
       {"", "[]", "{}", R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})", R"({"Steps":[{}]})",
        R"({"Steps":[{"Count":9000000}]})", R"({"Steps":[{"Count":-1}]})",
        R"({"Steps":[{"Count":"4"}]})", R"({"Steps":[{"Count":1,"After":[0]}]})",
        R"({"Steps":[{"Count":1,"After":[7]}]})", R"({"Steps":[{"Count":1,"Gang":1}]})",
        R"({"Steps":[{"Count":1.5}]})", R"({"Spec":5,"Steps":[{"Count":1}]})",
        R"({"Steps":{"Count":1}})"}) {
    INFO(body);
    CHECK_FALSE(DecodeJob(body).ok());
  }
  const std::string long_spec(4'001, 'x');
  CHECK_FALSE(DecodeJob("{\"Spec\":\"" + long_spec + "\",\"Steps\":[{\"Count\":1}]}").ok());
}

TEST_CASE_METHOD(WireTest, "RunnerListing_EntryOfAnotherWriter_IsRejected") {
  const std::string valid =
      R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","State":"ready","born":12,
      "Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":0},"Labels":["a","r1-3"]})";
  const auto listing = DecodeRunnerListing("i-1", valid);
  REQUIRE(listing.ok());
  CHECK(listing->rack == "r1-3");
  CHECK(listing->started_at == milliseconds(12));
  for (const char* malformed :
       {"", "\xff\xfe", "7", R"({"Service":"s"})",
        R"({"Service":5,"Address":"10.0.0.9:80","State":"ready","Capacity":{}})",
        R"({"Service":"s","Address":"here","State":"ready","Capacity":{}})",
        R"({"Service":"s","Address":"10.0.0.9:80","State":"asleep","Capacity":{}})",
        R"({"Service":"s","Address":"10.0.0.9:80","State":"ready"})"}) {
    CHECK_FALSE(DecodeRunnerListing("i-1", malformed).ok());
  }
}

TEST_CASE_METHOD(WireTest, "Report_ValidBody_GivesRunsAndResults") {
  const auto report = DecodeReport(
      R"({"born":3,"ClockMs":482113,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"c",100,41]],
      "Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed",""]]})");
  REQUIRE(report.ok());
  CHECK(report->running[0].task.ToString() == "5c0e7a21d94b36f8.0.1.17");
  CHECK(report->running[0].usage == 41);
  CHECK(report->results[0].number == 58);
  CHECK(report->results[0].result == RunResult::kLeaseExpired);
}

// Guards against TWICE (review/1): a report lists 500 results at most and does not say that there
// are more, so runs that it does not mention may have ended.
TEST_CASE_METHOD(WireTest, "Report_AsManyResultsAsAReportMayList_MayLackResults") {
  const auto body_with = [](int results) {
    std::string rows;
    for (int number = 1; number <= results; ++number) {
      rows += Concat(number > 1 ? "," : "", "[", number, R"(,"5c0e7a21d94b36f8.0.1.)", number,
                     R"(",1,"done",""])");
    }
    return Concat(R"({"ClockMs":1,"Finished":[)", rows, "]}");
  };
  CHECK_FALSE(DecodeReport(body_with(499))->more_results);
  CHECK(DecodeReport(body_with(500))->more_results);
}

TEST_CASE_METHOD(WireTest, "Report_MalformedRow_IsAnErrorNotAnEmptyList") {
  for (const char* body :
       {"", "{}", R"({"ClockMs":1,"Running":[["x",1,"",0]]})", R"({"ClockMs":1,"Running":[[]]})",
        R"({"ClockMs":1,"Finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})"}) {
    CHECK_FALSE(DecodeReport(body).ok());
  }
}

TEST_CASE_METHOD(WireTest, "Config_ValidText_GivesQueuesAndSparePool") {
  const auto config = DecodeConfig(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"H.example","PathPrefix":"/k/","Service":"s",
      "TargetLatencyMs":600,"Priority":1,"MaxAttempts":2,"Stretch":1.6}],
      "Services":[{"Name":"s"},{"Name":"t","Standby":true}],"Limits":{"MaxBodyBytes":9}})");
  REQUIRE(config.ok());
  CHECK(config->routes[0].policy.max_attempts == 2);
  CHECK(config->services[1].spare);
  CHECK(config->limits.body_bytes == 9);
  CHECK_FALSE(DecodeConfig(R"({"Routes":[]})").ok());
}

TEST_CASE_METHOD(WireTest, "Config_Teams_AreDecodedAndOtherwiseNoKeyIsRequired") {
  const std::string routes = R"("Routes":[{"Name":"r","Host":"h","PathPrefix":"/k/","Service":"s",
      "Public":true}])";
  const auto config = DecodeConfig(Concat(R"({"Version":7,)", routes, R"(,"Tenants":[{"Name":"red",
      "ApiKeys":["k1","k2"],"Priority":1,"Weight":2.5,"Cap":{"Cpu":4000,"MemMb":0,"Gpus":1}}]})"));
  REQUIRE(config.ok());
  CHECK(config->routes[0].is_public);
  CHECK(config->teams.requires_keys());
  const Team* team = config->teams.FindByKey("k2");
  REQUIRE(team != nullptr);
  CHECK(team->name == "red");
  CHECK(team->weight == 2.5);
  CHECK(team->cap == Resources{4'000, 0, 1});
  const auto without = DecodeConfig(Concat(R"({"Version":7,)", routes, "}"));
  REQUIRE(without.ok());
  CHECK_FALSE(without->teams.requires_keys());
}

TEST_CASE_METHOD(WireTest, "Config_InvalidTeams_IsRefusedWithoutNamingTheKey") {
  for (const std::string team :
       {R"({"ApiKeys":["secret"]})", R"({"Name":"a","ApiKeys":"secret"})",
        R"({"Name":"a","ApiKeys":["secret"],"Weight":-1})", R"({"Name":"a","Weight":"secret"})",
        R"({"Name":"a","ApiKeys":[1]})", R"({"Name":"a","ApiKeys":["secret"],"Cap":5})",
        R"({"Name":"a","ApiKeys":["secret"]},{"Name":"b","ApiKeys":["secret"]})"}) {
    const auto config = DecodeConfig(Concat(R"({"Version":7,"Tenants":[)", team, "]}"));
    REQUIRE_FALSE(config.ok());
    CHECK(config.status().message().find("secret") == absl::string_view::npos);
  }
}

TEST_CASE_METHOD(WireTest, "Machines_TwoPages_AreJoined") {
  MachineList machines;
  const auto next = DecodeMachines(
      R"({"Machines":[{"Machine":"m1","Pool":"s","State":"up","Id":"i-1",
      "Capacity":{"Cpu":32000}}],"NextToken":"p2"})",
      &machines);
  REQUIRE(next.ok());
  CHECK(*next == "p2");
  const auto last = DecodeMachines(
      R"({"Machines":[{"Machine":"m2","Pool":"s","State":"upkeep"}],"NextToken":null})", &machines);
  REQUIRE(last.ok());
  CHECK(last->empty());
  CHECK(machines.at("m1").up);
  CHECK(machines.at("m1").cores == 32);
  CHECK_FALSE(machines.at("m2").up);
}

TEST_CASE_METHOD(WireTest, "Advice_ValidBody_GivesTicketsByRunner") {
  const auto advice = DecodeAdvice(R"({"Allowed":[["i-7","c81e"],["i-9","77aa"]],"ValidMs":3000})");
  REQUIRE(advice.ok());
  CHECK(advice->valid == milliseconds(3'000));
  CHECK(advice->tickets.at("i-7") == "c81e");
  CHECK(advice->tickets.size() == 2);
}

TEST_CASE_METHOD(WireTest, "Advice_MalformedBody_IsRejected") {
  for (const char* body : {R"({"Allowed":[["i-7"]]})", R"({"Allowed":["i-7"]})",
                           R"({"Allowed":[[1,2]]})", R"({"Allowed":5})", "[", ""}) {
    CHECK_FALSE(DecodeAdvice(body).ok());
  }
}

TEST_CASE("Job_EncodedAndDecoded_IsUnchanged") {
  JobSpec spec;
  spec.payload = "text with \"quotes\"";
  spec.times = 2;
  spec.start_at = milliseconds(1'000);
  spec.period = milliseconds(500);
  StepSpec minimal_step;
  minimal_step.need = {250, 64, 0};
  minimal_step.estimate = milliseconds(30);
  StepSpec full_step = minimal_step;
  full_step.count = 7;
  full_step.need.gpus = 2;
  full_step.after = {0};
  full_step.checkpointing = full_step.gang = full_step.same_rack = full_step.speculative = true;
  full_step.long_running = full_step.best_effort = true;
  full_step.required_label = "kind-a";
  full_step.preferred_rack = "r1-2";
  full_step.max_per_runner = 3;
  full_step.max_unavailable = 1;
  full_step.image = "image";
  full_step.tail_target = milliseconds(40);
  spec.steps = {minimal_step, full_step};
  const auto decoded = DecodeJob(EncodeJob(spec));
  REQUIRE(decoded.ok());
  CHECK(Encode(*decoded) == Encode(spec));
}

}  // namespace
}  // namespace wigeonlane
