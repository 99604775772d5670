#ifndef FILBERTGW_STREAMS_EVENTSPLITTER_H
#define FILBERTGW_STREAMS_EVENTSPLITTER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertgw {

/** \brief One complete server-sent event. */
struct StreamEvent
{
    std::string bytes_; ///< As received, including the terminating empty line.
    std::string id_; ///< Value of the `id` field, or empty.
    std::string data_; ///< Values of the `data` fields, joined by line feeds.
};

/** \brief Splits a byte stream into server-sent events without changing their bytes. */
class EventSplitter
{
public:
    /** \brief Appends bytes of the stream. \return false if more than maxEventBytes are buffered. */
    bool add(const std::string &chunk);
    /** \brief Extracts the next complete event. \return false if there is none yet. */
    bool next(StreamEvent &event);
    /** \brief True if the stream is inside an event. Valid once next() has returned false. */
    bool isInsideEvent() const;

    /** \brief Bytes that are held, of unfinished events. */
    std::size_t bufferedBytes() const;
    /** \brief Bytes that the last call of next() has looked at. */
    std::size_t lastScannedBytes() const;

    static constexpr std::size_t maxEventBytes = 1024 * 1024;

private:
    std::size_t findLineEnd();
    void addLine(std::string_view line);

    std::string input_;
    std::size_t consumed_ = 0; ///< Bytes of input_ that belong to extracted events.
    std::size_t lineStart_ = 0; ///< Where the first line begins that has not been seen whole.
    std::size_t scanned_ = 0; ///< Bytes of input_ before which no further line ends.
    std::size_t lastScanned_ = 0; ///< \sa lastScannedBytes()
    StreamEvent partial_; ///< Fields of the event that begins at consumed_, from its whole lines.
    bool hasData_ = false; ///< partial_ has a `data` field.
};

} // namespace filbertgw

#endif
