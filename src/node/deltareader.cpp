#include "node/deltareader.h"

#include <utility>

namespace filbertgw {

std::optional<std::string> DeltaReader::read(const std::string &event)
{
    levels_.clear();
    text_.clear();
    hasText_ = false;
    if (!nlohmann::json::sax_parse(event, static_cast<nlohmann::json_sax<nlohmann::json> *>(this))) {
        return std::nullopt;
    }
    return std::exchange(text_, {});
}

/** \brief True where the value of that key is read: of the event, or of its first choice. */
bool DeltaReader::isAt(Key key) const
{
    if (levels_.empty() || levels_.back().isArray_ || levels_.back().key_ != key) {
        return false;
    }
    if (key == Key::Choices || key == Key::Usage || key == Key::Error) {
        return levels_.size() == 1;
    }
    const bool inFirstChoice =
        levels_.size() >= 3 && levels_[0].key_ == Key::Choices && levels_[1].isArray_ && levels_[1].index_ == 1;
    if (key == Key::Content) {
        return inFirstChoice && levels_.size() == 4 && levels_[2].key_ == Key::Delta;
    }
    return inFirstChoice && levels_.size() == 3;
}

/** \brief Begins any value but null. \return false where the value needs the whole event. */
bool DeltaReader::takeValue()
{
    if (levels_.empty()) {
        return false;
    }
    if (levels_.back().isArray_) {
        ++levels_.back().index_;
    }
    return !isAt(Key::Usage) && !isAt(Key::FinishReason);
}

bool DeltaReader::open(bool isArray)
{
    const bool isEvent = levels_.empty() && !isArray;
    if (!isEvent && !takeValue()) {
        return false;
    }
    levels_.push_back(Level{isArray, Key::Other, 0});
    return true;
}

bool DeltaReader::null()
{
    if (!levels_.empty() && levels_.back().isArray_) {
        ++levels_.back().index_;
    }
    return !levels_.empty();
}

bool DeltaReader::boolean(bool /*value*/)
{
    return takeValue();
}

bool DeltaReader::number_integer(number_integer_t /*value*/)
{
    return takeValue();
}

bool DeltaReader::number_unsigned(number_unsigned_t /*value*/)
{
    return takeValue();
}

bool DeltaReader::number_float(number_float_t /*value*/, const string_t & /*text*/)
{
    return takeValue();
}

bool DeltaReader::string(string_t &value)
{
    if (!isAt(Key::Content)) {
        return takeValue();
    }
    // A key that comes twice counts with its last value in a tree.
    if (hasText_) {
        return false;
    }
    hasText_ = true;
    text_ = std::move(value);
    return true;
}

bool DeltaReader::binary(binary_t & /*value*/)
{
    return false;
}

bool DeltaReader::start_object(std::size_t /*elements*/)
{
    return open(false);
}

bool DeltaReader::key(string_t &value)
{
    levels_.back().key_ = value == "choices" ? Key::Choices
        : value == "delta"                   ? Key::Delta
        : value == "content"                 ? Key::Content
        : value == "finish_reason"           ? Key::FinishReason
        : value == "usage"                   ? Key::Usage
        : value == "error"                   ? Key::Error
                                             : Key::Other;
    return !isAt(Key::Error);
}

bool DeltaReader::end_object()
{
    levels_.pop_back();
    return true;
}

bool DeltaReader::start_array(std::size_t /*elements*/)
{
    return open(true);
}

bool DeltaReader::end_array()
{
    levels_.pop_back();
    return true;
}

bool DeltaReader::parse_error(std::size_t /*position*/,
                              const std::string & /*lastToken*/,
                              const nlohmann::detail::exception & /*error*/)
{
    return false;
}

} // namespace filbertgw
