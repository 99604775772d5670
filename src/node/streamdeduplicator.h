#ifndef FILBERTGW_NODE_STREAMDEDUPLICATOR_H
#define FILBERTGW_NODE_STREAMDEDUPLICATOR_H

#include <string>

namespace filbertgw {

/**
 * \brief Converts the text of one or several runs of a call to one stream without repeated text.
 *
 * A call may be run again after a crash. Text that the caller already has is not repeated; if the new run gives other
 * text, the stream restarts from the beginning.
 */
class StreamDeduplicator
{
public:
    /** \brief What to send to the caller. */
    struct Update
    {
        bool restart_ = false; ///< The caller must first discard the text that it has.
        std::string text_; ///< May be empty.
    };

    /** \brief Starts a new run, whose text is compared with the text already sent. */
    void rerun();
    /** \brief Adds text of the current run. */
    Update add(const std::string &text);
    /** \brief Sets the final text of the call. */
    Update complete(const std::string &whole);

private:
    Update reconcile();

    std::string sent_; ///< What the caller has.
    std::string run_; ///< Text of the current run so far; empty while the run is in sync.
    bool isInSync_ = true; ///< The text of the current run equals the text sent.
};

} // namespace filbertgw

#endif
