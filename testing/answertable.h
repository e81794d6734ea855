// What a gateway may take for a response: RFC 9110, section 15, and RFC 9112, sections 2.2, 4, 5.1, 5.2, 6.1, 6.3, 7.1
// and 8, one row for each rule, for tests of every reader of responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylatch::testing
{

struct AnswerRow
{
    std::string rule; // section and what the response does
    std::string bytes; // the server closes the connection after them, in order
    bool isWhole = false; // the response is complete; else its receiver must not take any part of it for an answer
};

// Collects the rows that fail, so that a test reports all of them.
class FailedRows
{
public:
    void check(bool holds, const std::string &text)
    {
        constexpr std::size_t MaxTextBytes = 400;
        if (!holds) {
            m_text += "\n" + text.substr(0, MaxTextBytes);
        }
    }
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

// Rows of a response with this body. `fields` identify a proper response; each ends with CRLF.
inline std::vector<AnswerRow> answerTable(const std::string &fields, const std::string &body)
{
    const auto hex = [](std::size_t n) {
        constexpr std::string_view Digits = "0123456789abcdef";
        std::string out;
        for (; n > 0; n /= 16) {
            out.insert(out.begin(), Digits[n % 16]);
        }
        return out;
    };
    const std::string size = std::to_string(body.size());
    const std::string length = "Content-Length: " + size + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string whole = ok + fields + length + "\r\n" + body;
    const std::string chunks = hex(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
    const auto withStatusLine = [&](const std::string &line) {
        return line + "\r\n" + fields + length + "\r\n" + body;
    };
    const auto withField = [&](const std::string &line) {
        return ok + fields + line + "\r\n" + length + "\r\n" + body;
    };
    const auto withFraming = [&](const std::string &lines, const std::string &content) {
        return ok + fields + lines + "\r\n" + content;
    };
    const auto inChunks = [&](const std::string &content) {
        return ok + fields + chunked + "\r\n" + content;
    };
    std::vector<AnswerRow> rows{
        {"a length", whole, true},
        {"chunks", inChunks(chunks), true},
        {"the end of the connection", withFraming("", body), true},

        {"9112/2.2: an empty line before the status line", "\r\n" + whole},
        {"9112/2.2: LF alone ends the status line", "HTTP/1.1 200 OK\n" + fields + length + "\r\n" + body},
        {"9112/2.2: LF alone ends a field", withField("X-A: b\nX-B: c")},
        {"9112/2.2: LF alone ends the length", withFraming("Content-Length: " + size + "\n", body)},
        {"9112/2.2: LF alone ends the transfer coding", withFraming("Transfer-Encoding: chunked\n", chunks)},
        {"9112/2.2: LF alone ends the head", ok + fields + length + "\n" + body},
        {"9112/2.2: CR alone in a value", withField("X-A: b\rc")},
        {"9112/2.2: a blank before the first field", ok + " X-A: b\r\n" + fields + length + "\r\n" + body},
        {"9112/2.2: NUL in a value", withField(std::string("X-A: b\0c", 8))},

        {"9112/4: no reason", withStatusLine("HTTP/1.1 200 "), true},
        {"9112/4: another reason", withStatusLine("HTTP/1.1 200 All is well"), true},
        {"9112/4: a control byte in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
        {"9112/4: two digits", withStatusLine("HTTP/1.1 20 OK")},
        {"9112/4: four digits", withStatusLine("HTTP/1.1 2000 OK")},
        {"9112/4: a letter in the status", withStatusLine("HTTP/1.1 2x0 OK")},
        {"9112/4: a sign", withStatusLine("HTTP/1.1 +20 OK")},
        {"9112/4: two blanks", withStatusLine("HTTP/1.1  200 OK")},
        {"9112/4: a tab", withStatusLine("HTTP/1.1\t200 OK")},
        {"9112/4: no status", withStatusLine("HTTP/1.1 OK")},
        {"9112/4: no version", withStatusLine("200 OK")},
        {"9112/4: another protocol", withStatusLine("ICY 200 OK")},
        {"9112/4: a lower-case protocol", withStatusLine("http/1.1 200 OK")},
        {"9112/4: another major version", withStatusLine("HTTP/2.0 200 OK")},
        {"9112/4: no head at all", body},

        {"9112/5.1: a blank before the colon", withField("X-A : b")},
        {"9112/5.1: a tab before the colon", withField("X-A\t: b")},
        {"9112/5.1: a blank before the colon of the length", withFraming("Content-Length : " + size + "\r\n", body)},
        {"9112/5.1: a blank before the colon of the transfer coding", withFraming("Transfer-Encoding : chunked\r\n", chunks)},
        {"9112/5.1: a blank in a name", withField("X A: b")},
        {"9112/5.1: a blank in the name of the length", withFraming("Content Length: " + size + "\r\n", body)},
        {"9112/5.1: a control byte in a name", withField("X\x01"
                                                         "A: b")},
        {"9112/5.1: NUL in a name", withField(std::string("X\0A: b", 6))},
        {"9112/5.1: CR in a name", withField("X\rA: b")},
        {"9112/5.1: DEL in a name", withField("X\x7f"
                                              "A: b")},
        {"9112/5.1: a control byte before the name of the length", withFraming("\x01"
                                                                               "Content-Length: "
                                                                                   + size + "\r\n",
                                                                               body)},
        {"9112/5.1: a control byte after the name of the transfer coding", withFraming("Transfer-Encoding\x0b: chunked\r\n", chunks)},
        {"9112/5.1: a byte above ASCII in a name", withField("X\xe4"
                                                             "A: b")},
        {"9112/5.1: a separator in a name", withField("X(A): b")},
        {"9112/5.1: an empty name", withField(": b")},
        {"9112/5.1: no colon", withField("X-A")},
        {"9112/5.1: blanks around a value", withField("X-A: \t b \t "), true},
        {"9112/5.1: an empty value", withField("X-A:"), true},

        {"9112/5.2: a folded value", withField("X-A: b\r\n c"), true},
        {"9112/5.2: a folded length", withFraming("Content-Length: " + size + "\r\n 0\r\n", body)},
        {"9112/5.2: a folded transfer coding", withFraming("Transfer-Encoding: chunked\r\n ,gzip\r\n", chunks)},

        {"9112/6.1: a length and chunks", withFraming(length + chunked, chunks)},
        {"9112/6.1: chunks and a length", withFraming(chunked + length, chunks)},
        {"9112/6.1: chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + chunks},
        {"9112/6.1: an unknown coding", withFraming("Transfer-Encoding: gzip\r\n", body)},
        {"9112/6.1: an unknown coding and a length", withFraming("Transfer-Encoding: gzip\r\n" + length, body)},
        {"9112/6.1: an unknown coding before chunks", withFraming("Transfer-Encoding: gzip, chunked\r\n", chunks)},
        {"9112/6.1: an unknown coding after chunks", withFraming("Transfer-Encoding: chunked, gzip\r\n", chunks)},
        {"9112/6.1: chunks twice", withFraming("Transfer-Encoding: chunked, chunked\r\n", chunks)},
        {"9112/6.1: chunks in two fields", withFraming(chunked + chunked, chunks)},
        {"9112/6.1: an empty coding", withFraming("Transfer-Encoding:\r\n", body)},

        {"9112/6.3: lengths that differ", withFraming(length + "Content-Length: 1\r\n", body)},
        {"9112/6.3: lengths that differ, in one field", withFraming("Content-Length: " + size + ", 1\r\n", body)},
        {"9112/6.3: a negative length", withFraming("Content-Length: -1\r\n", body)},
        {"9112/6.3: a length with a sign", withFraming("Content-Length: +" + size + "\r\n", body)},
        {"9112/6.3: a hexadecimal length", withFraming("Content-Length: 0x10\r\n", body)},
        {"9112/6.3: an empty length", withFraming("Content-Length:\r\n", body)},
        {"9112/6.3: a length beyond 64 bits", withFraming("Content-Length: 18446744073709551617\r\n", body)},
        {"9112/6.3: a length with a unit", withFraming("Content-Length: " + size + "B\r\n", body)},

        {"9112/7.1: capital digits, leading zeros, an extension", inChunks("00" + hex(body.size()) + ";a=\"b\"\r\n" + body + "\r\n0;c\r\n\r\n"), true},
        {"9112/7.1: a trailer", inChunks(hex(body.size()) + "\r\n" + body + "\r\n0\r\nX-T: 1\r\n\r\n"), true},
        {"9112/7.1: no size", inChunks("\r\n" + body + "\r\n0\r\n\r\n")},
        {"9112/7.1: a size that is no number", inChunks("xyz\r\n" + body + "\r\n0\r\n\r\n")},
        {"9112/7.1: a negative size", inChunks("-" + chunks)},
        {"9112/7.1: a size with a prefix", inChunks("0x" + chunks)},
        {"9112/7.1: a blank before the size", inChunks(" " + chunks)},
        {"9112/7.1: a size beyond 64 bits", inChunks("10000000000000000" + chunks)},
        {"9112/7.1: LF alone after the size", inChunks(hex(body.size()) + "\n" + body + "\r\n0\r\n\r\n")},
        {"9112/7.1: no CRLF after the data", inChunks(hex(body.size()) + "\r\n" + body + "0\r\n\r\n")},
        {"9112/7.1: other bytes after the data", inChunks(hex(body.size()) + "\r\n" + body + "xx0\r\n\r\n")},
        {"9112/7.1: a size below that of the data", inChunks("1\r\n" + body + "\r\n0\r\n\r\n")},
        {"9112/7.1.2: a blank in the name of a trailer", inChunks(hex(body.size()) + "\r\n" + body + "\r\n0\r\nX T: 1\r\n\r\n")},
        {"9112/7.1.2: a length in the trailer", inChunks(hex(body.size()) + "\r\n" + body + "\r\n0\r\nContent-Length: 1\r\n\r\n")},

        {"9112/8: the end inside the head", ok + fields},
        {"9112/8: the end inside a body with a length", whole.substr(0, whole.size() - 1)},
        {"9112/8: the end inside a chunk", inChunks(chunks.substr(0, chunks.size() - 8))},
        {"9112/8: the end before the last chunk", inChunks(chunks.substr(0, chunks.size() - 5))},
        {"9112/8: the end inside the last chunk", inChunks(chunks.substr(0, chunks.size() - 2))},

        {"9110/15.2: an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + whole, true},
        {"9110/15.2: an interim response with fields", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, true},
        {"9110/15.2: an unknown interim response", "HTTP/1.1 199 X\r\n\r\n" + whole, true},
        {"9110/15.2: only an interim response", "HTTP/1.1 100 Continue\r\n" + fields + "\r\n"},
        {"9110/15.2: an interim response, then no other", "HTTP/1.1 103 Early Hints\r\n" + fields + length + "\r\n" + body},
        {"9110/15.2.2: another protocol, which no one asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + whole},
    };
    for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
        const std::string rule = "9110/15: status " + status;
        const std::string line = "HTTP/1.1 " + status + " X\r\n";
        rows.push_back({rule + ", a length", line + fields + length + "\r\n" + body});
        rows.push_back({rule + ", chunks", line + fields + chunked + "\r\n" + chunks});
        rows.push_back({rule + ", the end of the connection", line + fields + "\r\n" + body});
        rows.push_back({rule + ", no body", line + fields + "Content-Length: 0\r\n\r\n"});
        rows.push_back({rule + ", a head alone", line + "\r\n"});
        rows.push_back({rule + ", then a whole response", line + length + "\r\n" + body + whole});
        rows.push_back({rule + ", no body, then a whole response", line + "Content-Length: 0\r\n\r\n" + whole});
    }
    return rows;
}

} // namespace carawaylatch::testing
