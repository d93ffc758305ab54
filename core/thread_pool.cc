#include "core/thread_pool.h"

#include <utility>

namespace wigeonlane {

ThreadPool::~ThreadPool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

void ThreadPool::Post(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(work));
  if (idle_threads_ < queue_.size() && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { RunWorker(); });
  }
  work_available_.notify_one();
}

void ThreadPool::RunWorker() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    work_available_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    --idle_threads_;
    if (queue_.empty()) return;
    const std::function<void()> work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace wigeonlane
