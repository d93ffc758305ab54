/// Feeds bytes that were read from a connection to an HTTP parser.
#ifndef WIGEONLANE_NET_HTTP_FEED_H_
#define WIGEONLANE_NET_HTTP_FEED_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>

namespace wigeonlane {

/// What a connection's messages may hold before they are complete.
struct FeedLimits {
  std::size_t header_bytes = 0;    ///< Of all header lines of a message.
  std::size_t unparsed_bytes = 0;  ///< The parser takes a line, and all trailers, only as a whole.
};

/// Memory that the parser takes for a byte of header lines, at most: a field takes some 80 bytes,
/// and the shortest line has 4.
inline constexpr std::size_t kMemoryPerHeaderByte = 20;

/// Empties a string and returns its memory to the allocator.
inline void ReleaseMemory(std::string* text) { std::string().swap(*text); }

/// Returns the memory that a string holds for its content.
inline std::size_t HeldBytes(const std::string& text) { return text.empty() ? 0 : text.capacity(); }

/// Feeds `buffer` to `parser` until the message is complete or the buffer is used up, and removes
/// the parsed bytes from `buffer`. An incomplete message is not an error, unless it exceeds
/// `limits`. `header_bytes` counts the header of the message so far: the parser's own limit applies
/// to the lines of one call only.
template <typename Parser>
boost::system::error_code FeedParser(Parser* parser, std::string* buffer, const FeedLimits& limits,
                                     std::size_t* header_bytes) {
  namespace http = boost::beast::http;
  std::size_t used = 0;
  boost::system::error_code error;
  while (used < buffer->size() && !parser->is_done() && !error) {
    const bool in_header = !parser->is_header_done();
    const std::size_t count =
        parser->put(boost::asio::const_buffer(buffer->data() + used, buffer->size() - used), error);
    used += count;
    if (!in_header) continue;
    // The body may begin in the same call, so it counts only while the header goes on.
    *header_bytes += parser->is_header_done() ? 0 : count;
    if (*header_bytes > limits.header_bytes) {
      return http::make_error_code(http::error::header_limit);
    }
  }
  buffer->erase(0, used);
  if (error != http::error::need_more) return error;
  if (buffer->size() <= limits.unparsed_bytes) return {};
  return http::make_error_code(http::error::header_limit);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_HTTP_FEED_H_
