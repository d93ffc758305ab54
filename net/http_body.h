/// Body of an HTTP message that takes memory as its bytes arrive.
#ifndef WIGEONLANE_NET_HTTP_BODY_H_
#define WIGEONLANE_NET_HTTP_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wigeonlane {

/// Like Boost.Beast's `string_body`, which reserves the announced length at once: a client could
/// take the memory of a whole body with a header alone.
struct GrowingStringBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class Reader {
   public:
    template <bool isRequest, class Fields>
    Reader(boost::beast::http::header<isRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error) {
      announced_bytes_ = static_cast<std::size_t>(length.value_or(0));
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t count = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        Grow(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    /// Doubles the capacity, but not beyond the announced length, unless `bytes` need more.
    void Grow(std::size_t bytes) {
      if (bytes <= body_.capacity()) return;
      const std::size_t doubled = 2 * body_.capacity();
      const bool announced = announced_bytes_ >= bytes;
      body_.reserve(std::max(bytes, announced ? std::min(doubled, announced_bytes_) : doubled));
    }

    value_type& body_;
    std::size_t announced_bytes_ = 0;
  };

  using reader = Reader;  ///< The name that the parser expects.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_HTTP_BODY_H_
