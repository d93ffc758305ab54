/// A bounded pool of threads for blocking work.
#ifndef WIGEONLANE_CORE_THREAD_POOL_H_
#define WIGEONLANE_CORE_THREAD_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace wigeonlane {

/// Starts posted work in the order in which it was posted. Starts a new thread when work is posted
/// and no thread is idle, up to `max_threads`. The destructor waits until all posted work has run.
class ThreadPool {
 public:
  explicit ThreadPool(std::size_t max_threads) : max_threads_(max_threads) {}
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  void Post(std::function<void()> work);

 private:
  void RunWorker();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::deque<std::function<void()>> queue_;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_THREAD_POOL_H_
