#ifndef FILBERTGW_NET_HTTPANSWERPARSER_H
#define FILBERTGW_NET_HTTPANSWERPARSER_H

#include "net/httpbodyparser.h"
#include "net/httptypes.h"

#include <string_view>

namespace filbertgw::internal {

/** \brief Collects the body bytes that one read brought; included by the .cpp files of this module only. */
class HttpAnswerParser : public HttpBodyParser<false>
{
public:
    HttpAnswerParser();

    /** \brief True if these bytes begin with a whole head of which a line begins with a blank. */
    static bool hasFoldedLine(std::string_view bytes);

    HttpHead head_;
    std::string body_;

private:
    // Beast's names. NOLINTBEGIN(readability-identifier-naming)
    void on_response_impl(int status, StringView reason, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value, Error &error) override;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace filbertgw::internal

#endif
