#ifndef FILBERTGW_NET_HTTPREQUESTPARSER_H
#define FILBERTGW_NET_HTTPREQUESTPARSER_H

#include "net/httpbodyparser.h"
#include "net/httptypes.h"

namespace filbertgw::internal {

/** \brief Fills an HttpRequest while Beast parses; included by the .cpp files of this module only. */
class HttpRequestParser : public HttpBodyParser<true>
{
public:
    explicit HttpRequestParser(const HttpLimits &limits);

    HttpRequest request_;
    bool http10_ = false;
    bool expectsContinue_ = false;
    std::size_t headBytes_ = 0; ///< Memory of the decoded head, with the overhead of each field.

    /** \brief Size of the body as far as it has arrived. */
    std::size_t bodyBytes() const
    {
        return request_.body_.size();
    }

private:
    // Beast's names. NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(
        boost::beast::http::verb verb, StringView method, StringView target, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value, Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace filbertgw::internal

#endif
