#include "core/thread_pool.h"

#include <utility>

namespace wigeonlane {

ThreadPool::~ThreadPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

void ThreadPool::Post(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(work));
  if (idle_ < queue_.size() && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
  wake_.notify_one();
}

void ThreadPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    --idle_;
    if (queue_.empty()) return;
    const std::function<void()> work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace wigeonlane
