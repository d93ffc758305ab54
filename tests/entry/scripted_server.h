/// A TCP server that answers each request with bytes of the test's choice.
#ifndef WIGEONLANE_TESTS_ENTRY_SCRIPTED_SERVER_H_
#define WIGEONLANE_TESTS_ENTRY_SCRIPTED_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/settings.h"

namespace wigeonlane {

/// What the server sends for one request: parts with a pause before each, then it may close.
struct ScriptedResponse {
  std::vector<std::string> parts;
  std::chrono::milliseconds delay_before_part{0};
  bool close_after = false;
};

/// Serves one connection at a time on a thread of its own.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedResponse(const std::string& request)>;

  explicit ScriptedServer(Script script)
      : script_(std::move(script)),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Run(); }) {}

  ~ScriptedServer() {
    stopping_ = true;
    std::error_code ignored;
    asio::ip::tcp::socket wake(context_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    {
      const std::lock_guard lock(mutex_);
      if (current_socket_ != nullptr)
        current_socket_->shutdown(asio::socket_base::shutdown_both, ignored);
    }
    thread_.join();
  }

  Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int connections() const { return connections_; }

  /// Requests whose answer was written in full.
  int responses_written() const { return responses_written_; }

 private:
  void Run() {
    while (!stopping_) {
      asio::ip::tcp::socket socket(context_);
      std::error_code error;
      acceptor_.accept(socket, error);
      if (error || stopping_) return;
      ++connections_;
      SetCurrentSocket(&socket);
      Serve(&socket);
      SetCurrentSocket(nullptr);
    }
  }

  void SetCurrentSocket(asio::ip::tcp::socket* socket) {
    const std::lock_guard lock(mutex_);
    current_socket_ = socket;
  }

  void Serve(asio::ip::tcp::socket* socket) {
    std::string request;
    std::error_code error;
    while (true) {
      const std::size_t size =
          asio::read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
      if (error) return;
      const ScriptedResponse response = script_(request.substr(0, size));
      request.erase(0, size);
      for (const std::string& part : response.parts) {
        std::this_thread::sleep_for(response.delay_before_part);
        asio::write(*socket, asio::buffer(part), error);
        if (error) return;
      }
      ++responses_written_;
      if (response.close_after) return;
    }
  }

  const Script script_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::atomic<int> responses_written_{0};
  std::mutex mutex_;
  asio::ip::tcp::socket* current_socket_ = nullptr;
  std::thread thread_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_ENTRY_SCRIPTED_SERVER_H_
