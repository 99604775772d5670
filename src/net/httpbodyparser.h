#ifndef FILBERTGW_NET_HTTPBODYPARSER_H
#define FILBERTGW_NET_HTTPBODYPARSER_H

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace filbertgw::internal {

/**
 * \brief Beast's parser with what requests and answers share: body bytes are appended to a text.
 *
 * Included by the .cpp files of this module only. The member functions have Beast's names.
 */
template<bool isRequest>
class HttpBodyParser : public boost::beast::http::basic_parser<isRequest>
{
protected:
    using Error = boost::system::error_code;
    using StringView = boost::beast::string_view;

    /** \param body must outlive the parser. */
    explicit HttpBodyParser(std::string &body)
        : output_(body)
    {
    }

    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(boost::beast::http::verb, StringView, StringView, int, Error &) override
    {
    }
    void on_response_impl(int, StringView, int, Error &) override
    {
    }
    void on_header_impl(Error &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override
    {
    }
    std::size_t on_body_impl(StringView body, Error &) override
    {
        output_.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, StringView, Error &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, StringView body, Error &) override
    {
        output_.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(Error &) override
    {
    }
    // NOLINTEND(readability-identifier-naming)

private:
    std::string &output_;
};

} // namespace filbertgw::internal

#endif
