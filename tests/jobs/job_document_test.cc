/// Jobs as their owners write them down: good ones, and bad ones that are named.
#include "jobs/job_document.h"

#include <catch2/catch.hpp>
#include <string>

#include "core/text.h"

namespace wigeonlane {
namespace {

class JobDocumentTest {
 protected:
  static std::string Error(const std::string& text) {
    return MessageOf(ParseJobDocument(text).status());
  }
};

TEST_CASE_METHOD(JobDocumentTest, "Parse_AllFields_AreRead") {
  const auto job = ParseJobDocument(R"({
    "payload": "p", "times": 3, "start_at_ms": 1000, "period": "2s",
    "steps": [
      {"tasks": 4, "cpu_milli": 500, "memory_mb": 256, "gpus": 1, "estimate": "900ms",
       "checkpointing": true, "gang": true, "same_rack": true, "required_label": "kind-a",
       "preferred_rack": "r1", "most_per_runner": 2, "image": "i"},
      {"cpu_milli": 1, "after": [0], "speculative": true, "long_running": true, "fills": true,
       "may_be_missing": 1, "tail_target": "50ms"}]})");
  REQUIRE(job.ok());
  CHECK(job->payload == "p");
  CHECK(job->times == 3);
  CHECK(job->start_at == std::chrono::seconds(1));
  CHECK(job->period == std::chrono::seconds(2));
  REQUIRE(job->steps.size() == 2);
  const StepSpec& first = job->steps[0];
  CHECK(first.count == 4);
  CHECK(first.need == Resources{500, 256, 1});
  CHECK(first.estimate == std::chrono::milliseconds(900));
  CHECK((first.checkpointing && first.gang && first.same_rack));
  CHECK(first.required_label == "kind-a");
  CHECK(first.preferred_rack == "r1");
  CHECK(first.max_per_runner == 2);
  CHECK(first.image == "i");
  const StepSpec& second = job->steps[1];
  CHECK(second.count == 1);
  CHECK(second.after == std::vector<std::uint32_t>{0});
  CHECK((second.speculative && second.long_running && second.best_effort));
  CHECK(second.max_unavailable == 1);
  CHECK(second.tail_target == std::chrono::milliseconds(50));
}

TEST_CASE_METHOD(JobDocumentTest, "Parse_BadDocument_NamesThePath") {
  CHECK(Error("{") == "not a JSON document");
  CHECK(Error("[]") == "job: not a JSON object");
  CHECK(Error("{}").starts_with("job.steps: required"));
  CHECK(Error(R"({"steps": []})").starts_with("job.steps: required"));
  CHECK(Error(R"({"steps": [7]})") == "job.steps[0]: not a JSON object");
  CHECK(Error(R"({"steps": [{}]})").starts_with("job.steps[0].cpu_milli"));
  CHECK(Error(R"({"steps": [{"cpu_milli": 1, "tasks": 0}]})").starts_with("job.steps[0].tasks"));
  CHECK(Error(R"({"steps": [{"cpu_milli": 1, "Count": 2}]})").starts_with("job.steps[0].Count"));
  CHECK(
      Error(R"({"steps": [{"cpu_milli": 1, "after": ["a"]}]})").starts_with("job.steps[0].after"));
  CHECK(Error(R"({"steps": [{"cpu_milli": 1, "after": [-1]}]})").starts_with("job.steps[0].after"));
  CHECK(Error(R"({"steps": [{"cpu_milli": 1, "after": [0]}]})").starts_with("step 0"));
  CHECK(Error(R"({"payload": 7, "steps": [{"cpu_milli": 1}]})").starts_with("job.payload"));
  CHECK(Error(R"({"steps": [{"cpu_milli": 1, "tasks": 3000}, {"cpu_milli": 1, "tasks": 3000}]})")
            .starts_with("a job has at most"));
}

}  // namespace
}  // namespace wigeonlane
