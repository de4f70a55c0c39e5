#include "cli/table_printer.h"

#include <algorithm>
#include <string_view>

namespace cyclamenhatch::cli {
namespace {

std::string to_cell(const document& value) {
    if (const auto* text = std::get_if<std::string>(&value.value)) {
        return *text;
    }
    if (std::holds_alternative<std::monostate>(value.value)) {
        return "";
    }
    return write_json(value);
}

std::string find_cell(const document& row, std::string_view path) {
    const auto dot = path.find('.');
    const auto* member = find_member(row, path.substr(0, dot));
    if (member == nullptr) {
        return "";
    }
    return dot == std::string_view::npos ? to_cell(*member)
                                         : find_cell(*member, path.substr(dot + 1));
}

void print_cells(std::ostream& out, const std::vector<std::string>& cells,
                 const std::vector<std::size_t>& widths) {
    constexpr std::size_t gap = 2;
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(std::max(widths[i], cells[i].size()) + gap - cells[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
}

const document::array* find_rows(const document& value) {
    const auto* items = std::get_if<document::array>(&value.value);
    const bool is_rows = items != nullptr && !items->empty() &&
                         std::all_of(items->begin(), items->end(), [](const document& item) {
                             return std::holds_alternative<document::table>(item.value);
                         });
    return is_rows ? items : nullptr;
}

std::vector<std::string> list_columns(const document::array& rows) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& member : std::get<document::table>(row.value)) {
            if (std::find(columns.begin(), columns.end(), member.key) == columns.end()) {
                columns.push_back(member.key);
            }
        }
    }
    return columns;
}

/// Each part is titled with its path.
void print_part(std::ostream& out, const document& part, const std::string& path) {
    const auto* members = std::get_if<document::table>(&part.value);
    if (members == nullptr) {
        out << to_cell(part) << "\n";
        return;
    }
    const auto is_part = [](const document_member& member) {
        return std::holds_alternative<document::table>(member.value.value) ||
               find_rows(member.value) != nullptr;
    };
    std::size_t width = 0;
    for (const auto& member : *members) {
        width = is_part(member) ? width : std::max(width, member.key.size());
    }
    for (const auto& member : *members) {
        if (!is_part(member)) {
            print_cells(out, {member.key, to_cell(member.value)}, {width, 0});
        }
    }
    for (const auto& member : *members) {
        if (!is_part(member)) {
            continue;
        }
        const auto subpath = path.empty() ? member.key : path + "." + member.key;
        out << "\n[" << subpath << "]\n";
        if (const auto* rows = find_rows(member.value)) {
            print_rows(out, list_columns(*rows), *rows);
        } else {
            print_part(out, member.value, subpath);
        }
    }
}

} // namespace

void print_rows(std::ostream& out, const std::vector<std::string>& columns,
                const document::array& rows) {
    std::vector<std::vector<std::string>> lines{columns};
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto& column : columns) {
            cells.push_back(find_cell(row, column));
        }
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : lines) {
        print_cells(out, line, widths);
    }
}

void print_page(std::ostream& out, const document& page) {
    print_part(out, page, "");
}

void print_line(std::ostream& out, const document& row, const std::string& lead_key) {
    out << find_cell(row, lead_key);
    if (const auto* members = std::get_if<document::table>(&row.value)) {
        for (const auto& member : *members) {
            if (member.key != lead_key) {
                out << " " << member.key << "=" << to_cell(member.value);
            }
        }
    }
    out << "\n";
}

} // namespace cyclamenhatch::cli
