/// Teams of a cell: what they use, their limits, their rates and their shares of full services.
#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "cells/cell.h"
#include "scheduling/dominant_share.h"
#include "scheduling/fair_share.h"

namespace wigeonlane {
namespace {

/// Interval at which the shares of teams are computed. Tasks take half a second or more.
constexpr std::chrono::milliseconds kStandingInterval{250};

/// Whether a load may be added to what is used of one resource. A load above the whole cap may
/// start alone, or it never could, if only its last task of size `task` exceeds the cap.
bool FitsLimit(std::int64_t load, std::int64_t task, std::int64_t used, std::int64_t limit,
               std::int64_t cap) {
  if (cap == 0 || load == 0 || used + load <= limit) return true;
  return used == 0 && load > cap && load - task <= cap && limit >= cap;
}

/// Returns the processor share that the job's waiting tasks need to run now.
double WaitingCpu(const Job& job, const Resources& capacity) {
  double total = 0;
  for (std::uint32_t number = 0; number < job.occurrences().size(); ++number) {
    const auto& steps = job.occurrences()[number].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      if (steps[step].waiting == 0 || !job.StepReady(number, step)) continue;
      total += static_cast<double>(steps[step].waiting) *
               static_cast<double>(DominantCpuMilli(capacity, job.spec().steps[step].Load()));
    }
  }
  return total;
}

}  // namespace

TeamNumber Cell::NumberOfTeam(const std::string& team) {
  if (team.empty()) return kNoTeam;
  const auto [entry, added] =
      team_numbers_.emplace(team, static_cast<TeamNumber>(team_names_.size()));
  if (added) {
    team_names_.push_back(team);
    team_used_.emplace_back();
    team_blocked_.emplace_back();
    team_units_.emplace_back();
    team_rates_.emplace_back();
    if (const TeamTerms* terms = TermsOf(entry->second)) {
      team_rates_.back().SetRate(terms->weight);
    }
  }
  return entry->second;
}

/// Returns null for a team that the configuration does not have.
const TeamTerms* Cell::TermsOf(TeamNumber team) const {
  if (team == kNoTeam || !teams_) return nullptr;
  const auto terms = teams_->find(team_names_[team]);
  return terms == teams_->end() ? nullptr : &terms->second;
}

void Cell::SetTeams(std::map<std::string, TeamTerms> teams, Instant now) {
  teams_ = std::move(teams);
  for (TeamNumber team = 1; team < team_names_.size(); ++team) {
    if (const TeamTerms* terms = TermsOf(team)) team_rates_[team].SetRate(terms->weight);
  }
  schedule_requested_ = true;
  reschedule_at_ = std::min(reschedule_at_, now);
}

void Cell::SetTotalArrivals(const std::vector<TeamArrivals>& arrivals, Instant now) {
  for (const TeamArrivals& total : arrivals) {
    if (teams_ && teams_->contains(total.team)) {
      team_rates_[NumberOfTeam(total.team)].SetTotalArrivals(total.per_second, now);
    }
  }
}

std::vector<TeamArrivals> Cell::ReportArrivals(Instant now) const {
  std::vector<TeamArrivals> arrivals;
  for (TeamNumber team = 1; team < team_names_.size(); ++team) {
    const double per_second = team_rates_[team].Arrivals(now);
    if (per_second > 0) arrivals.push_back({team_names_[team], per_second});
  }
  return arrivals;
}

/// Counts a submission of the team. Teams that the configuration does not have are not limited.
bool Cell::IsWithinRate(TeamNumber team, Instant now) {
  return TermsOf(team) == nullptr || team_rates_[team].Admit(now);
}

/// Whether no other job waits for the service and the tasks of the first step fit now.
bool Cell::CanStartAtOnce(const JobRecord& record, TeamNumber team, Instant now) const {
  for (const auto& [rank, id] : waiting_.by_rank()) {
    const JobEntry& waiting = *jobs_.at(id);
    if (waiting.limited_by_team) continue;
    if (waiting.job.policy().service == record.policy.service) return false;
  }
  if (record.spec.steps.empty()) return true;
  const StepSpec& step = record.spec.steps.front();
  // What was accepted just now has not taken its places yet.
  std::uint64_t needed = step.count;
  for (const JobId& id : unaccepted_) {
    const Job& accepted = jobs_.at(id)->job;
    if (accepted.policy().service != record.policy.service) continue;
    needed += accepted.spec().steps.front().count;
  }
  const Resources load = step.Load();
  if (!FitsTeamLimit(team, Multiple(load, step.count), load)) return false;
  std::uint64_t places = 0;
  for (const auto& [key, runner] : runners_) {
    if (runner.listing.service != record.policy.service || !runner.IsOpen(now)) continue;
    places += FittingCount(runner.Free(), load);
    if (places >= needed) return true;
  }
  return false;
}

/// Whether a load, of tasks of one size, may start within the limit of the team.
bool Cell::FitsTeamLimit(TeamNumber team, const Resources& load, const Resources& task) const {
  if (team == kNoTeam) return true;
  if (!teams_) return false;
  const TeamTerms* terms = TermsOf(team);
  if (terms == nullptr || terms->cap == Resources{}) return true;
  Resources used = team_used_[team];
  if (team < team_uncertain_.size()) used += team_uncertain_[team];
  const auto fits = [&](std::int64_t Resources::*member) {
    return FitsLimit(load.*member, task.*member, used.*member, terms->limit.*member,
                     terms->cap.*member);
  };
  return fits(&Resources::cpu_milli) && fits(&Resources::memory_mb) && fits(&Resources::gpus);
}

/// Records that loads of a job, `count` at most, wait only because of the limit of its team. Those
/// for which there is no runner either do not count.
void Cell::RecordLimited(JobEntry* entry, const Resources& load, const Resources& unit,
                         std::uint32_t count) {
  entry->limited_by_team = limited_by_teams_ = true;
  std::uint32_t places = 0;
  for (const auto& [key, runner] : runners_) {
    if (places >= count) break;
    if (runner.listing.service != entry->job.policy().service) continue;
    places += std::min(FittingCount(runner.Free(), load), count);
  }
  team_blocked_[entry->team] += Multiple(load, std::clamp(places, 1U, count));
  Resources& largest = team_units_[entry->team];
  largest = {std::max(largest.cpu_milli, unit.cpu_milli),
             std::max(largest.memory_mb, unit.memory_mb), std::max(largest.gpus, unit.gpus)};
}

/// Returns by team what a predecessor may have started on runners that have not reported: at most
/// their capacity, and only tasks of jobs that it had stored.
std::vector<Resources> Cell::UncertainUses() const {
  if (unreconciled_.empty() || team_names_.size() == 1) return {};
  std::vector<Resources> uses(team_names_.size());
  Resources capacity;
  for (const auto& [key, runner] : runners_) {
    if (unreconciled_.contains(key)) capacity += runner.listing.capacity;
  }
  // Runs of cancelled and failed jobs may not have been stopped yet.
  std::vector<JobId> unfinished(open_jobs_.begin(), open_jobs_.end());
  std::copy_if(final_jobs_.begin(), final_jobs_.end(), std::back_inserter(unfinished),
               [&](const JobId& id) {
                 const auto found = jobs_.find(id);
                 return found != jobs_.end() && found->second->job.state() != JobState::kCompleted;
               });
  for (const JobId& id : unfinished) {
    const JobEntry& entry = *jobs_.at(id);
    if (entry.team == kNoTeam || !IsBlocked(entry)) continue;
    for (const Occurrence& occurrence : entry.job.occurrences()) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& tasks = occurrence.steps[step].tasks;
        const auto uncertain = std::count_if(tasks.begin(), tasks.end(), [](const TaskState& task) {
          return task.phase != TaskPhase::kDone && !task.accounted_for;
        });
        uses[entry.team] +=
            Multiple(entry.job.spec().steps[step].Load(), static_cast<std::uint32_t>(uncertain));
      }
    }
  }
  for (Resources& use : uses) {
    use = {std::min(use.cpu_milli, capacity.cpu_milli), std::min(use.memory_mb, capacity.memory_mb),
           std::min(use.gpus, capacity.gpus)};
  }
  return uses;
}

std::map<std::string, TeamUse> Cell::TeamUses() const {
  std::map<std::string, TeamUse> uses;
  if (!teams_) return uses;
  const std::vector<Resources> uncertain = UncertainUses();
  for (const auto& [name, terms] : *teams_) {
    if (terms.cap == Resources{}) continue;
    TeamUse& use = uses[name];
    const auto number = team_numbers_.find(name);
    if (number == team_numbers_.end()) continue;
    use.used = team_used_[number->second];
    if (number->second < uncertain.size()) use.uncertain = uncertain[number->second];
    use.blocked = team_blocked_[number->second];
    use.unit = team_units_[number->second];
  }
  return uses;
}

/// Finds the teams that use more than their weighted share of a service that cannot run all work.
void Cell::UpdateTeamStandings(Instant now) {
  if (team_names_.size() == 1 || now < standings_due_) return;
  standings_due_ = now + kStandingInterval;
  struct Service {
    Resources runner_capacity;
    double capacity = 0;
    std::map<TeamNumber, double> used;
    std::map<TeamNumber, double> demand;
  };
  std::map<std::string, Service> services;
  for (const auto& [key, runner] : runners_) {
    Service& service = services[runner.listing.service];
    const Resources& capacity = runner.listing.capacity;
    if (runner.AcceptsStarts(now)) {
      service.capacity += static_cast<double>(capacity.cpu_milli);
      service.runner_capacity = capacity;
    }
    for (const auto& [task, run] : runner.runs) {
      const auto load = static_cast<double>(DominantCpuMilli(capacity, run.load));
      if (run.team == kNoTeam) {
        service.capacity -= load;
      } else {
        service.used[run.team] += load;
        service.demand[run.team] += load;
      }
    }
  }
  for (const auto& [rank, id] : waiting_.by_rank()) {
    const JobEntry& entry = *jobs_.at(id);
    if (entry.team == kNoTeam || entry.beyond_rate || entry.limited_by_team) continue;
    Service& service = services[entry.job.policy().service];
    service.demand[entry.team] += WaitingCpu(entry.job, service.runner_capacity);
  }
  std::set<std::pair<std::string, TeamNumber>> over_share;
  for (const auto& [name, service] : services) {
    std::vector<ShareDemand> demands;
    for (const auto& [team, demand] : service.demand) {
      const TeamTerms* terms = TermsOf(team);
      demands.push_back({demand, terms == nullptr ? 0 : terms->weight});
    }
    const std::vector<double> shares = MaxMinShares(demands, service.capacity);
    std::size_t index = 0;
    for (const auto& [team, demand] : service.demand) {
      const double share = shares[index++];
      const auto used = service.used.find(team);
      const bool short_of_demand = share < demand;
      if (short_of_demand && used != service.used.end() && used->second > share) {
        over_share.emplace(name, team);
      }
    }
  }
  if (over_share == teams_over_share_) return;
  teams_over_share_ = std::move(over_share);
  RerankAllJobs();
}

TeamStanding Cell::StandingOf(const JobEntry& entry) const {
  if (entry.beyond_rate) return TeamStanding::kBeyondRate;
  if (entry.team == kNoTeam) return TeamStanding::kWithinShare;
  // Most of the work of a job that has begun would be wasted if it were late.
  const bool over_share = !entry.job.begin().may_have_begun() &&
                          teams_over_share_.contains({entry.job.policy().service, entry.team});
  return over_share ? TeamStanding::kOverShare : TeamStanding::kWithinShare;
}

}  // namespace wigeonlane
