/// cpp-httplib client that ends an exchange whose response has a head or a line without end.
#ifndef WIGEONLANE_CORE_HEAD_LIMITED_CLIENT_H_
#define WIGEONLANE_CORE_HEAD_LIMITED_CLIENT_H_

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <string>

namespace wigeonlane {

/// The library keeps all lines of a head, each of any length, and matches the status line with a
/// regular expression that takes stack for each character: 32,000 end the process.
class HeadLimitedClient : public httplib::ClientImpl {
 public:
  static constexpr std::size_t kMaxLineBytes = 8 * 1024;
  /// Longest head with the interim responses before it.
  static constexpr std::size_t kMaxHeadBytes = 16 * 1024;

  using ClientImpl::ClientImpl;

 private:
  /// The library reads lines byte by byte, and content in larger parts.
  class LimitedStream : public httplib::Stream {
   public:
    explicit LimitedStream(httplib::Stream* stream) : stream_(*stream) {}

    bool is_readable() const override { return stream_.is_readable(); }
    bool is_writable() const override { return stream_.is_writable(); }
    ssize_t read(char* to, std::size_t size) override {
      in_head_ = in_head_ && size == 1;
      if (size > 1) return stream_.read(to, size);
      if (in_head_ && ++head_bytes_ > kMaxHeadBytes) return -1;
      if (++line_bytes_ > kMaxLineBytes) return -1;
      const ssize_t count = stream_.read(to, size);
      if (count == 1 && *to == '\n') line_bytes_ = 0;
      return count;
    }
    ssize_t write(const char* from, std::size_t size) override { return stream_.write(from, size); }
    void get_remote_ip_and_port(std::string& ip, int& port) const override {
      stream_.get_remote_ip_and_port(ip, port);
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override {
      stream_.get_local_ip_and_port(ip, port);
    }
    socket_t socket() const override { return stream_.socket(); }

   private:
    httplib::Stream& stream_;
    bool in_head_ = true;
    std::size_t head_bytes_ = 0;
    std::size_t line_bytes_ = 0;
  };

  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream& stream)> callback) override {
    return httplib::detail::process_client_socket(
        socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_, write_timeout_usec_,
        [&](httplib::Stream& stream) {
          LimitedStream limited(&stream);
          return callback(limited);
        });
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_HEAD_LIMITED_CLIENT_H_
