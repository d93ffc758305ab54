/// Parser of the JSON document that describes a job for the operators' tool (docs/DOCUMENTS.md).
#ifndef WIGEONLANE_JOBS_JOB_DOCUMENT_H_
#define WIGEONLANE_JOBS_JOB_DOCUMENT_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "jobs/job.h"

namespace wigeonlane {

/// Parses and validates a JSON document. Errors: InvalidArgument with the path of the invalid
/// field.
absl::StatusOr<JobSpec> ParseJobDocument(std::string_view text);

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_JOB_DOCUMENT_H_
