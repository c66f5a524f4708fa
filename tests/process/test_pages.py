"""Guards against reference pages that differ from the shipped binaries and the
source: settings, exit codes, error codes, log events and commands."""

import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def read(*parts):
    with open(os.path.join(ROOT, *parts), encoding="utf-8") as file:
        return file.read()


def rows(text):
    """Returns the cells of all table rows of a text, without the header rows."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    cells = [[cell.strip().strip("`") for cell in line.strip("|").split("|")]
             for line in lines]
    return [row for index, row in enumerate(cells)
            if not set("".join(row)) <= {"-"} and
            not (index + 1 < len(cells) and
                 set("".join(cells[index + 1])) <= {"-"})]


def section(page, title):
    match = re.search(r"^## %s\n(.*?)(?=^## |\Z)" % re.escape(title), page,
                      re.M | re.S)
    assert match, "the page has no section " + title
    return match.group(1)


def help_settings(text):
    """Parses --help into a map of flag to variable, default, required by, help."""
    settings = {}
    for match in re.finditer(
            r"^  --(\S+)(?:  \((\w+)\))?(?:  default (\S+))?"
            r"(?:  required by (\w+))?\n      (.+)$", text, re.M):
        flag, *rest = match.groups()
        settings["--" + flag] = [part or "" for part in rest]
    return settings


def settings(binaries):
    page = read("docs", "settings.md")
    for binary in ("savorystream", "savoryctl"):
        text = subprocess.run([os.path.join(binaries, binary), "--help"],
                              capture_output=True, text=True, check=True).stdout
        from_help = help_settings(text)
        assert from_help, text
        from_page = {row[0]: row[1:] for row in rows(section(page, binary))}
        assert from_page == from_help, (
            binary, [flag for flag in set(from_page) | set(from_help)
                     if from_page.get(flag) != from_help.get(flag)])
    codes = dict(re.findall(r"^  (\d)  (.+)$", text, re.M))
    assert len(codes) == 9, codes
    from_page = {row[0]: row[1]
                 for row in rows(section(page, "Exit codes of savoryctl"))}
    assert from_page == codes, from_page
    source = read("router", "src", "settings.h")
    codes = set(re.findall(r"constexpr int kExit\w+ = (\d);", source))
    from_page = {row[0]
                 for row in rows(section(page, "Exit codes of savorystream"))}
    assert from_page == codes, (from_page, codes)


def codes_returning(source, function, result):
    """Returns the error codes for which the switch of a function returns `result`."""
    body = re.search(r"^%s\(.*?\n}\n" % function, source, re.M | re.S).group(0)
    groups = re.findall(r"((?:case ErrorCode::\w+:\s*)+)return ([^;]+);", body)
    return {name for cases, value in groups if value == result
            for name in re.findall(r"ErrorCode::(\w+)", cases)}


def errors(_):
    types = read("core", "include", "savory", "core", "types.h")
    names = dict(re.findall(r'\{ ErrorCode::(\w+), "(\w+)" \}', types))
    assert len(names) >= 28, names
    source = read("core", "src", "types.cpp")
    api = read("router", "src", "caller_api.cpp")
    not_retryable = codes_returning(api, "MayRetry", "false")
    default = re.search(r"default:\s*return (\d+);", source).group(1)
    status = {}
    for value in set(re.findall(r"return (\d+);", source)):
        for name in codes_returning(source, "HttpStatus", value):
            status[name] = value
    expected = {code: (status.get(name, default),
                       "no" if name in not_retryable else "yes")
                for name, code in names.items()}
    page = {row[0]: (row[1], row[3]) for row in rows(read("docs", "errors.md"))}
    assert page == expected, [code for code in set(page) | set(expected)
                              if page.get(code) != expected.get(code)]
    ran = set(re.findall(r'\{ ExecutionState::\w+, "(\w+)" \}', types))
    for row in rows(read("docs", "errors.md")):
        assert set(row[2].split(", ")) <= ran and row[4], row


def log_events(_):
    source = read("core", "include", "savory", "core", "events.h")
    numbers = dict(re.findall(r"^  (\w+) = (\d+),", source, re.M))
    table = re.findall(r'\{ Event::(\w+), "([\w-]+)", Severity::(\w+) \}', source)
    assert table and len(table) == len(numbers), (table, numbers)
    used = set()
    for folder in (("router", "src"), ("router", "gateway"), ("net", "src"),
                   ("platform", "src")):
        for name in os.listdir(os.path.join(ROOT, *folder)):
            used |= set(re.findall(r"Event::(\w+)", read(*folder, name)))
    expected = [[numbers[event], name, severity.lower(),
                 "yes" if event in used else "no"]
                for event, name, severity in table]
    page = [row[:3] + row[4:] for row in rows(read("docs", "log-events.md"))]
    assert page == expected, [row for row in expected if row not in page]


def commands(binaries):
    text = subprocess.run([os.path.join(binaries, "savoryctl"), "--help"],
                          capture_output=True, text=True, check=True).stdout
    from_help = re.search(r"^Commands:\n\n(.*?)\n\n", text, re.M | re.S).group(1)
    names = re.findall(r"^  ([a-z]+(?: [a-z]+)?)", from_help, re.M)
    assert len(names) >= 24, names
    page = read("docs", "operators.md")
    missing = [name for name in names
               if "savoryctl " + name not in page and "`%s`" % name not in page]
    assert not missing, missing


def main():
    for check in (settings, errors, log_events, commands):
        check(sys.argv[1])
        print("ok", check.__name__)


main()
