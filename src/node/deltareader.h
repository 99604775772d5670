#ifndef FILBERTGW_NODE_DELTAREADER_H
#define FILBERTGW_NODE_DELTAREADER_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/**
 * \brief Takes the text out of an event of a streamed answer, without a tree of the whole event.
 *
 * Nearly all events carry one token, and the tree of such an event costs more than everything else a node does with it.
 */
class DeltaReader : private nlohmann::json_sax<nlohmann::json>
{
public:
    /**
     * \brief Reads one event.
     * \return the text, possibly empty; nothing if the event says more than text (usage, an error, a reason to finish)
     * or can't be parsed.
     */
    std::optional<std::string> read(const std::string &event);

private:
    enum class Key : std::uint8_t { Other, Choices, Delta, Content, FinishReason, Usage, Error };
    struct Level
    {
        bool isArray_ = false;
        Key key_ = Key::Other; ///< Of an object: the key whose value comes next.
        std::size_t index_ = 0; ///< Of an array: values so far.
    };

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t &text) override;
    bool string(string_t &value) override;
    bool binary(binary_t &value) override;
    bool start_object(std::size_t elements) override;
    bool key(string_t &value) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool
    parse_error(std::size_t position, const std::string &lastToken, const nlohmann::detail::exception &error) override;

    bool isAt(Key key) const;
    bool takeValue();
    bool open(bool isArray);

    std::vector<Level> levels_;
    std::string text_;
    bool hasText_ = false;
};

} // namespace filbertgw

#endif
