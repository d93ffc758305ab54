/// Feeds bytes that were read from a connection to an HTTP parser.
#ifndef WIGEONLANE_NET_HTTP_FEED_H_
#define WIGEONLANE_NET_HTTP_FEED_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>

namespace wigeonlane {

/// Feeds `buffer` to `parser` until the message is complete or the buffer is used up, and removes
/// the parsed bytes from `buffer`. An incomplete message is not an error, unless it leaves more
/// than `max_unparsed_bytes` unparsed: the parser takes a line, and all trailers, only as a whole.
template <typename Parser>
boost::system::error_code FeedParser(Parser* parser, std::string* buffer,
                                     std::size_t max_unparsed_bytes) {
  std::size_t used = 0;
  boost::system::error_code error;
  while (used < buffer->size() && !parser->is_done() && !error) {
    used +=
        parser->put(boost::asio::const_buffer(buffer->data() + used, buffer->size() - used), error);
  }
  buffer->erase(0, used);
  if (error != boost::beast::http::error::need_more) return error;
  if (buffer->size() <= max_unparsed_bytes) return {};
  return boost::beast::http::make_error_code(boost::beast::http::error::header_limit);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_NET_HTTP_FEED_H_
