#ifndef FILBERTGW_NET_HTTPANSWERPARSER_H
#define FILBERTGW_NET_HTTPANSWERPARSER_H

#include "net/httptypes.h"

#include <boost/beast/http/basic_parser.hpp>

namespace filbertgw::internal {

/** \brief Collects the body bytes that one read brought; included by the .cpp files of this module only. */
class HttpAnswerParser : public boost::beast::http::basic_parser<false>
{
public:
    HttpAnswerParser();

    HttpHead head_;
    std::string body_;

private:
    using Error = boost::system::error_code;
    using StringView = boost::beast::string_view;

    // Beast's names. NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(
        boost::beast::http::verb verb, StringView method, StringView target, int version, Error &error) override;
    void on_response_impl(int status, StringView reason, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value, Error &error) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    std::size_t on_body_impl(StringView body, Error &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, Error &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body, Error &error) override;
    void on_finish_impl(Error &error) override;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace filbertgw::internal

#endif
