#include "CsvLine.h"

#include <csv.h>

namespace bergamotweir::table {

namespace {

/** Owns a libcsv parser and frees it. */
class Parser
{
public:
    Parser()
    {
        this->isInitialized = csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI) == 0;
    }

    ~Parser()
    {
        if (this->isInitialized) {
            csv_free(&this->parser);
        }
    }

    Parser(const Parser &) = delete;
    Parser &operator=(const Parser &) = delete;

    bool read(std::string_view line, std::vector<std::string> &cells)
    {
        return this->isInitialized
               && csv_parse(&this->parser, line.data(), line.size(), &Parser::appendCell, nullptr, &cells)
                      == line.size()
               && csv_fini(&this->parser, &Parser::appendCell, nullptr, &cells) == 0;
    }

private:
    static void appendCell(void *bytes, std::size_t length, void *cells)
    {
        static_cast<std::vector<std::string> *>(cells)->emplace_back(static_cast<const char *>(bytes), length);
    }

    csv_parser parser{};
    bool isInitialized = false;
};

bool needsQuotes(const std::string &cell)
{
    return cell.find_first_of(",\"# \t\r\n") != std::string::npos;
}

} // namespace

std::optional<std::vector<std::string>> readCsvLine(std::string_view line)
{
    std::vector<std::string> cells;
    Parser parser;
    if (!parser.read(line, cells)) {
        return std::nullopt;
    }
    return cells;
}

std::string writeCsvLine(const std::vector<std::string> &cells)
{
    std::string line;
    for (const std::string &cell : cells) {
        if (&cell != cells.data()) {
            line += ',';
        }
        if (!needsQuotes(cell)) {
            line += cell;
            continue;
        }
        std::string quoted(2 * cell.size() + 2, '\0');
        quoted.resize(csv_write(quoted.data(), quoted.size(), cell.data(), cell.size()));
        line += quoted;
    }
    return line + '\n';
}

} // namespace bergamotweir::table
