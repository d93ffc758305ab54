/// A fixed set of threads that run blocking work.
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

/// Runs posted work in the order posted, on threads started when work finds none idle, up to a
/// limit. The destructor finishes everything posted before.
class ThreadPool {
 public:
  explicit ThreadPool(std::size_t max_threads) : max_threads_(max_threads) {}
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  void Post(std::function<void()> work);

 private:
  void Run();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_THREAD_POOL_H_
