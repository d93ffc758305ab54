#include "entry/order_desk.h"

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kFirstRetry{5};
constexpr std::chrono::milliseconds kLongestRetry{500};
/// How long a batch that was appended may take to come back before it is appended again.
constexpr std::chrono::milliseconds kFoldWait{1'000};

}  // namespace

OrderDesk::OrderDesk(Options options, const SteadyClock& clock, AppendFunction append,
                     std::function<std::size_t()> members,
                     std::function<void(std::function<void()>)> run, MetricsRegistry* metrics)
    : options_(std::move(options)),
      clock_(clock),
      append_(std::move(append)),
      members_(std::move(members)),
      run_(std::move(run)),
      batches_(metrics->Counter("wigeonlane_order_batches_total")),
      claims_(metrics->Counter("wigeonlane_order_claims_total")),
      append_failures_(metrics->Counter("wigeonlane_order_append_failures_total")),
      book_({.author = options_.author}, clock),
      budget_(options_.appends_per_second, clock),
      thread_([this] { Run(); }) {}

OrderDesk::~OrderDesk() { Stop(); }

void OrderDesk::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

OrderDesk::Step OrderDesk::Begin(const Digest& key, std::uint64_t body, std::uint64_t id,
                                 Instant deadline, const ClaimTable& claims,
                                 StepCallback callback) {
  const std::lock_guard lock(mutex_);
  Step step = book_.Begin(key, body, id, claims);
  if (step.action == OrderAction::kWait) {
    waiting_[id] = {key, deadline, std::move(callback)};
    wake_.notify_all();
  }
  return step;
}

void OrderDesk::OnFolded(const OrderBatch& batch, const ClaimTable& claims) {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    if (batch.author == options_.author) folded_sequence_ = batch.sequence;
    callbacks = TakeCallbacks(book_.OnFolded(batch, claims));
    wake_.notify_all();
  }
  Post(std::move(callbacks));
}

void OrderDesk::Finish(const Digest& key, bool proven_not_run, const KeptAnswer& answer) {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    callbacks = TakeCallbacks(book_.Finish(key, proven_not_run, answer));
    if (proven_not_run) wake_.notify_all();
  }
  Post(std::move(callbacks));
}

void OrderDesk::GiveUpLate() {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    std::vector<Step> steps;
    const Instant now = clock_.Now();
    for (const auto& [id, waiting] : waiting_) {
      if (waiting.deadline > now) continue;
      const bool never_sent = book_.Abandon(waiting.key, id);
      steps.push_back(
          {never_sent ? OrderAction::kOverloaded : OrderAction::kMayHaveRun, id, {}, {}});
    }
    book_.EvictOldResponses();
    callbacks = TakeCallbacks(steps);
  }
  Post(std::move(callbacks));
}

std::optional<KeptAnswer> OrderDesk::KnownOutcome(const Digest& key, bool* in_flight) const {
  const std::lock_guard lock(mutex_);
  return book_.OutcomeOf(key, in_flight);
}

Duration OrderDesk::log_failing_for() const {
  const std::lock_guard lock(mutex_);
  return failing_since_.has_value() ? clock_.Now() - *failing_since_ : Duration(0);
}

OrderDesk::Callbacks OrderDesk::TakeCallbacks(const std::vector<Step>& steps) {
  Callbacks callbacks;
  for (const Step& step : steps) {
    const auto found = waiting_.find(step.waiter);
    if (found == waiting_.end()) continue;
    callbacks.emplace_back(
        [callback = std::move(found->second.callback), step] { callback(step); });
    waiting_.erase(found);
  }
  return callbacks;
}

void OrderDesk::Post(Callbacks callbacks) {
  for (auto& callback : callbacks) run_(std::move(callback));
}

void OrderDesk::Run() {
  while (true) {
    OrderBatch batch;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || book_.has_batch_to_append(); });
      if (stopping_ || !WaitForBudget(&lock)) return;
      const auto& next = book_.NextBatch();
      if (!next.has_value()) continue;  // Everything that waited was given up meanwhile.
      batch = *next;
    }
    AppendBatch(batch);
  }
}

bool OrderDesk::WaitForBudget(std::unique_lock<std::mutex>* lock) {
  // Claims that come meanwhile join the batch, so a smaller budget means larger batches.
  while (book_.has_batch_to_append()) {
    const Duration wait = budget_.Take(members_());
    if (wait == Duration(0)) return true;
    if (wake_.wait_for(*lock, wait, [this] { return stopping_; })) return false;
  }
  return true;
}

void OrderDesk::AppendBatch(const OrderBatch& batch) {
  ++batches_;
  claims_ += batch.claims.size();
  const std::vector<NewRecord> records = {
      {Concat(batch.author, "/orders/", batch.sequence), EncodeRecord(Record(batch))}};
  std::chrono::milliseconds pause = kFirstRetry;
  while (true) {
    const AppendOutcome outcome = append_(records);
    std::unique_lock lock(mutex_);
    const auto folded = [&] { return stopping_ || folded_sequence_ >= batch.sequence; };
    if (outcome.status.ok()) {
      failing_since_.reset();
      if (wake_.wait_for(lock, kFoldWait, folded)) return;
      continue;
    }
    ++append_failures_;
    if (!failing_since_.has_value()) failing_since_ = clock_.Now();
    if (wake_.wait_for(lock, pause, folded)) return;
    pause = std::min(pause * 2, kLongestRetry);
  }
}

}  // namespace wigeonlane
