/// Fuzz test of the bound on unparsed bytes: messages whose lines, chunks or trailers never end.
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/http_body.h"
#include "net/http_feed.h"
#include "tests/support/property.h"

namespace wigeonlane {
namespace {

namespace http = boost::beast::http;

class HttpFeedFuzzTest {
 protected:
  static constexpr int kRuns = 300;
  static constexpr std::size_t kMaxUnparsedBytes = 4 * 1024;
  static constexpr FeedLimits kLimits{kMaxUnparsedBytes, kMaxUnparsedBytes};
  static constexpr std::size_t kMaxPartBytes = 1'024;
  static constexpr std::uint64_t kMaxBodyBytes = 8 * 1024;
  static constexpr std::size_t kStreamBytes = 64 * 1024;

  using Parser = http::request_parser<GrowingStringBody>;

  HttpFeedFuzzTest() { StartMessage(); }

  void StartMessage() {
    parser_.emplace();
    parser_->header_limit(kMaxUnparsedBytes);
    parser_->body_limit(kMaxBodyBytes);
    parser_->eager(true);
    buffer_.clear();
    header_bytes_ = 0;
  }

  /// Feeds the stream in random parts until it is rejected or complete. Fails if the parser and the
  /// buffer hold more than the limits.
  void FeedInParts(const std::string& stream) {
    // One drawn value for all parts: RapidCheck would shrink each of hundreds of drawn ones.
    std::minstd_rand random(*rc::gen::inRange(1, 1 << 30));
    std::uniform_int_distribution<std::size_t> part_bytes(1, kMaxPartBytes);
    std::size_t fed = 0;
    while (fed < stream.size() && !parser_->is_done()) {
      const std::size_t part = part_bytes(random);
      buffer_ += stream.substr(fed, part);
      fed += part;
      const auto error = FeedParser(&*parser_, &buffer_, kLimits, &header_bytes_);
      if (error) return;
      RC_ASSERT(parser_->is_done() || buffer_.size() <= kMaxUnparsedBytes);
      RC_ASSERT(parser_->get().body().size() <= kMaxBodyBytes);
    }
    RC_ASSERT(parser_->is_done());
  }

  static std::string Repeated(const std::string& piece) {
    std::string text;
    while (text.size() < kStreamBytes) text += piece;
    return text;
  }

  std::optional<Parser> parser_;
  std::string buffer_;
  std::size_t header_bytes_ = 0;
};

TEST_CASE_METHOD(HttpFeedFuzzTest, "Feed_PartWithoutEnd_IsRejectedWithinTheBound") {
  const std::string chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> streams = {
      chunked + "1\r\na\r\n0\r\n" + Repeated("X-Trailer: abc\r\n"),
      chunked + "1;x=" + Repeated("y"),
      chunked + "1 " + Repeated(" "),
      chunked + Repeated("0"),
      chunked + Repeated("2;e=v\r\nab\r\n"),
      "POST /" + Repeated("a"),
      "POST /x HTTP/1.1\r\n" + Repeated("X-Header: abc\r\n"),
      "POST /x HTTP/1.1\r\nX-Header: " + Repeated("a"),
      "POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + Repeated("a")};
  RequireProperty(31, kRuns, [&] {
    StartMessage();
    FeedInParts(*rc::gen::elementOf(streams));
    RC_ASSERT(!parser_->is_done());
  });
}

/// Guards against a limit that the parser applies to each read only: every read ends one byte into
/// a line, so that it takes all lines and keeps nothing.
TEST_CASE_METHOD(HttpFeedFuzzTest, "Feed_ReadsEndJustAfterALine_HeaderIsLimitedAllTheSame") {
  const std::string line = "X-Header: abcd\r\n";
  buffer_ = "POST / HTTP/1.1\r\n" + line.substr(0, 1);
  boost::system::error_code error;
  std::size_t fed = 0;
  for (; !error && fed < kStreamBytes; fed += line.size()) {
    buffer_ += line.substr(1) + line.substr(0, 1);
    error = FeedParser(&*parser_, &buffer_, kLimits, &header_bytes_);
  }
  CHECK(error == http::make_error_code(http::error::header_limit));
  CHECK(fed <= kMaxUnparsedBytes + 2 * line.size());
}

TEST_CASE_METHOD(HttpFeedFuzzTest, "Feed_CompleteMessageCutAnywhere_IsParsed") {
  const std::string body(kMaxBodyBytes, 'b');
  const std::string length = std::to_string(body.size());
  const std::vector<std::string> streams = {
      "POST /x HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + body,
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000;e=\"v\"\r\n" + body +
          "\r\n0\r\nX-Trailer: t\r\n\r\n",
      "POST /x HTTP/1.1\r\nX-Long: " + std::string(kMaxUnparsedBytes - 64, 'h') + "\r\n\r\n"};
  RequireProperty(32, kRuns, [&] {
    StartMessage();
    FeedInParts(*rc::gen::elementOf(streams));
    RC_ASSERT(parser_->is_done());
  });
}

}  // namespace
}  // namespace wigeonlane
