#ifndef FILBERTGW_NODE_SSEREADER_H
#define FILBERTGW_NODE_SSEREADER_H

#include <cstddef>
#include <functional>
#include <string>

namespace filbertgw {

/** \brief Splits a stream of server-sent events into the data of each event and the comments between them. */
class SseReader
{
public:
    using TextHook = std::function<void(const std::string &)>;

    /** \param comment receives the text of comment lines without the colon and the space after it; may be empty. */
    explicit SseReader(TextHook event, TextHook comment = {});

    /** \brief Parses more bytes of the stream. \return false if an event exceeds the maximum size. */
    bool add(const std::string &part);

private:
    void processLine(const std::string &line);

    static constexpr std::size_t maxEventBytes = 1024 * 1024; ///< Bounds the memory that one event can take.

    TextHook event_;
    TextHook comment_;
    std::string line_; ///< Incomplete line.
    std::string data_; ///< Data lines of the incomplete event.
};

} // namespace filbertgw

#endif
