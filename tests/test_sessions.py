"""
Tests of session parsing
========================

Tables of statements, options, tokens and statement parameters.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cardamomdrift.bundle.model import RequestKind
from cardamomdrift.errors import BadRequest, BadToken, UnknownClass
from cardamomdrift.position import Position
from cardamomdrift.sessions.options import attribute_options, check_options
from cardamomdrift.sessions.parameters import bind, make_literal, split_parameters
from cardamomdrift.sessions.statement import Verb, parse_statement, shape_of
from cardamomdrift.sessions.token import decode_token, encode_token
from cardamomdrift.standins.engine import Engine
from tests.values import bundle

KEY = b"sixteen bytes key"
# Hypothesis derives its examples from the source text of the methods, so the names in
# them stay.
STEADY = settings(derandomize=True, database=None, deadline=None, max_examples=100)

VERBS = (
    ("SELECT 1", Verb.READ),
    ("(SELECT 1) UNION (SELECT 2)", Verb.READ),
    ("  /* note */ select 1", Verb.READ),
    ("-- a\r COMMIT; x", Verb.WRITE),
    ("SELECT 1 INTO@a", Verb.WRITE),
    ("-- note\nSHOW TABLES", Verb.READ),
    ("SELECT * FROM t FOR UPDATE", Verb.WRITE),
    ("SELECT * FROM t LOCK IN SHARE MODE", Verb.WRITE),
    ("SELECT * FROM t FOR/**/UPDATE", Verb.WRITE),
    ("SELECT 1 /*!80000 INTO */ OUTFILE 'f'", Verb.WRITE),
    ("SELECT 1 /*!80000 + 1 */", Verb.WRITE),
    ("SELECT 'for update", Verb.UNSUPPORTED),
    ("/* a */ /* b */ SELECT 1", Verb.READ),
    ("/**/#\n--\n/*'*/SELECT 1; -- end", Verb.READ),
    ("( ( /* a */ SELECT 1))", Verb.READ),
    ("WITH x AS (SELECT 1) DELETE FROM t", Verb.WRITE),
    ("INSERT INTO t VALUES (1)", Verb.WRITE),
    ("CALL anything()", Verb.WRITE),
    ("START TRANSACTION", Verb.BEGIN),
    ("ROLLBACK TO SAVEPOINT a", Verb.SAVEPOINT),
    ("rollback", Verb.ROLLBACK),
    ("SET AUTOCOMMIT = 0", Verb.AUTOCOMMIT_OFF),
    ("SET @@autocommit=ON", Verb.AUTOCOMMIT_ON),
    ("SET NAMES utf8mb4", Verb.SET),
    ("/**/ set /**/ names 'utf8' collate utf8mb4_general_ci;", Verb.SET),
    ("SET CHARACTER SET utf8mb4", Verb.SET),
    ("SET SESSION cardamomdrift_class='a'", Verb.SET_OPTION),
    ("SELECT @@cardamomdrift_token", Verb.READ_OPTION),
    ("LOCK TABLES t READ", Verb.UNSUPPORTED),
    ("XA START 'a'", Verb.UNSUPPORTED),
    ("", Verb.WRITE),
    (" /* only a note */", Verb.WRITE),
    ("BEGIN WORK;", Verb.BEGIN),
    ("/* a */ -- b\n # c\nBEGIN -- d", Verb.BEGIN),
    ("START /**/ TRANSACTION READ ONLY, WITH CONSISTENT SNAPSHOT", Verb.BEGIN),
    ("/* a */ /* b */ commit work and no chain no release", Verb.COMMIT),
    ("--\x01\nROLLBACK", Verb.ROLLBACK),
    ("ROLLBACK/**/TO a", Verb.SAVEPOINT),
    ("/* a */ /* b */ SAVEPOINT a", Verb.SAVEPOINT),
    ("/* a */ /* b */ SET autocommit=0;", Verb.AUTOCOMMIT_OFF),
    ("CREATE PROCEDURE p() BEGIN SELECT 1; COMMIT; END", Verb.WRITE),
)
# Nothing may open or end a transaction, or change a shared connection, unnoticed.
NOT_UNDERSTOOD = (
    *("/*! BEGIN */", "/*!50000 COMMIT */", "/*!40101 SET NAMES latin1 */"),
    *("BEGIN; INSERT INTO t VALUES (1)", "SELECT 1; COMMIT", ";COMMIT", "COMMIT;;"),
    *("SELECT 1;/**/COMMIT", "SELECT 'a';'b'", "SELECT 1;/*!COMMIT*/"),
    *(
        "COMMIT AND CHAIN",
        "ROLLBACK RELEASE",
        "COMMIT x",
        "(COMMIT)",
        "(BEGIN)",
        "(DO 1)",
    ),
    *("BEGIN1", "BEGIN x", "START SLAVE", "START", "ROLLBACK TO", "( SET a = 1)"),
    *("\xa0COMMIT", "\ufeffCOMMIT", "\x1fBEGIN", "\x00BEGIN", "'' COMMIT", "1"),
    *("CREATE /**/ TEMPORARY TABLE t (a INT)", "DROP TEMPORARY TABLE t"),
    *("SELECT `GET_LOCK` ('a', 1)", "DO GET_LOCK('a', 1)", "SELECT GET_LOCK('a', 1)"),
    *("SELECT /*!80000 GET_LOCK*/('a', 1)", "UPDATE t SET v = get_lock/**/('a', 1)"),
    *("SELECT RELEASE_ALL_LOCKS()", "DO IF(1, RELEASE_LOCK ('a'), 1)"),
    *("COMMIT /* open", "/* open", "USE `d", "USE d x", "RESET BINARY LOGS"),
    *("FLUSH TABLES WITH READ LOCK", "SELECT 1 /*!99999 ' */; COMMIT -- '"),
    *("SET autocommit = 0, sql_mode = ''", "SET autocommit = DEFAULT", "SET"),
    *("SET NAMES utf8mb4, autocommit = 0", "SET NAMES utf8mb4 COLLATE utf8mb4_bin"),
    *("SET NAMES latin1", "SET NAMES binary", "SET NAMES 'utf8mb4", "SET @a = 1"),
    *("SET SESSION cardamomdrift_class = 'a', autocommit = 0", "SET NAMES utf8mb4 x"),
    *("\u017fET NAMES utf8mb4", "COMMIT WOR\u212a"),
)
BAD_OPTIONS = (
    ({"class": "nope"}, RequestKind.READ, UnknownClass),
    ({"class": "w"}, RequestKind.READ, BadRequest),
    ({"class": "old"}, RequestKind.WRITE, BadRequest),
    ({"deadline_ms": "soon"}, RequestKind.READ, BadRequest),
    ({"deadline_ms": "-1"}, RequestKind.READ, BadRequest),
    ({"deadline_ms": "inf"}, RequestKind.READ, BadRequest),
    ({"deadline_ms": "nan"}, RequestKind.READ, BadRequest),
    ({"key": "k"}, RequestKind.READ, BadRequest),
    ({"key": ""}, RequestKind.WRITE, BadRequest),
    ({"key": "k" * 129}, RequestKind.WRITE, BadRequest),
    ({"colour": "red"}, RequestKind.READ, BadRequest),
)


# These read what another caller may have left on a connection.
OF_A_CONNECTION = (
    *("SELECT LAST_INSERT_ID()", "INSERT INTO t VALUES (last_insert_id/**/( ))"),
    *(
        "SELECT FOUND_ROWS()",
        "SELECT ROW_COUNT()",
        "SELECT @@identity",
        "SHOW WARNINGS",
    ),
    *("SELECT @@session.last_insert_id", "SHOW COUNT(*) ERRORS", "SELECT @a"),
    *("SELECT 1 INTO @a", "CALL p(@a)", "UPDATE t SET v = @`a`", "SELECT @@`identity`"),
    *("SELECT SQL_CALC_FOUND_ROWS 1", "SELECT @'a'", "SELECT @@local . warning_count"),
)
OF_NO_CONNECTION = (
    *("UPDATE t SET id = LAST_INSERT_ID(id + 1)", "SELECT 'LAST_INSERT_ID()'"),
    *("SELECT @a := @a + 1 FROM t, (SELECT @a := 0) r", "SELECT @@version"),
    *("INSERT INTO t VALUES ('a@b', '@a') -- @a", "GRANT SELECT ON t TO 'a'@'b'"),
    *("CREATE DEFINER = `a`@`b` PROCEDURE p() SELECT @a", "SELECT last_insert_id"),
)


class StatementTest(unittest.TestCase):
    def test_statements_that_need_their_callers_connection(self):
        """LAST_INSERT_ID() gave the id of another caller's row."""
        for expected, texts in ((True, OF_A_CONNECTION), (False, OF_NO_CONNECTION)):
            for sql in texts:
                with self.subTest(sql):
                    self.assertIs(parse_statement(sql).of_connection, expected)

    def test_verbs(self):
        for sql, verb in VERBS:
            with self.subTest(sql):
                self.assertIs(parse_statement(sql).verb, verb)

    def test_what_is_not_understood_is_refused(self):
        """BEGIN behind two comments opened a transaction on a shared connection."""
        for sql in NOT_UNDERSTOOD:
            with self.subTest(sql):
                self.assertIs(parse_statement(sql).verb, Verb.UNSUPPORTED)

    def test_a_word_in_a_text_is_no_verb(self):
        for text in ("'; COMMIT'", '"GET_LOCK("', "'a''; b'", r"'\'; c'", "`;`"):
            sql = f"INSERT INTO t VALUES ({text}) -- ; GET_LOCK("
            with self.subTest(sql):
                self.assertIs(parse_statement(sql).verb, Verb.WRITE)

    def test_options_of_the_leading_comment(self):
        sql = "/* cardamomdrift: class=old, key='a b' max_age_ms=5 */ SELECT 1"
        expected = (("class", "old"), ("key", "a b"), ("max_age_ms", "5"))
        self.assertEqual(parse_statement(sql).options, expected)
        self.assertEqual(parse_statement("/* other: class=old */ SELECT 1").options, ())
        sql = f"/* note */ -- note\n {sql}"
        self.assertEqual(parse_statement(sql).options, expected)

    def test_shape_ignores_literals_and_options(self):
        one = "/* cardamomdrift: key=1 */ SELECT * FROM t WHERE a = 'x' AND b = 1.5"
        two = "SELECT * FROM t WHERE a = 'it''s' AND b = 2"
        self.assertEqual(shape_of(one), shape_of(two))


class CacheTest(unittest.TestCase):
    def test_long_texts_are_not_kept(self):
        """4096 texts of 4 MiB each were kept, three times."""
        sql = "INSERT INTO t VALUES " + "('a', 1), " * 10_000 + "('b', ?)"
        for function in (parse_statement, split_parameters, shape_of):
            with self.subTest(function.__name__):
                entries = function.cache_info().currsize
                self.assertEqual(function(sql), function(sql))
                self.assertEqual(function.cache_info().currsize, entries)
                function(f"SELECT ?, 'only in {entries}'")
                self.assertEqual(function.cache_info().currsize, entries + 1)
        self.assertLess(len(shape_of(sql)), 1000)
        self.assertEqual(shape_of(sql), shape_of(sql.replace("a", "b")))
        long = f"INSERT INTO t VALUES (1, '{'a' * 99_999}')"
        self.assertEqual(shape_of(long), shape_of(long.replace("a", '"')))


class OptionsTest(unittest.TestCase):
    def test_bad_options(self):
        for values, kind, error_type in BAD_OPTIONS:
            with self.subTest(values):
                match check_options(values, bundle(), kind):
                    case Failure(error):
                        self.assertIsInstance(error, error_type)
                    case Success(options):
                        self.fail(options)

    def test_the_value_of_an_attribute_is_its_text(self):
        """NULL was the key "None", which all writes with a NULL key shared."""
        attributes = {
            **{"cardamomdrift_key": None, "cardamomdrift_class": b"w", "other": 1},
            **{"cardamomdrift_token": "t", "cardamomdrift_deadline_ms": 5},
        }
        expected = {"class": "w", "token": "t", "deadline_ms": "5"}
        self.assertEqual(attribute_options(attributes), expected)
        with self.assertRaises(BadRequest):
            attribute_options({"cardamomdrift_key": b"\xff"})

    def test_max_age_is_capped_by_the_class(self):
        for text, expected in (("500", 0.5), ("5000", 1.0)):
            values = {"class": "old", "max_age_ms": text}
            options = check_options(values, bundle(), RequestKind.READ).unwrap()
            self.assertEqual(options.max_age, expected)
        values = {"class": "fresh", "max_age_ms": "500"}
        self.assertIsNone(
            check_options(values, bundle(), RequestKind.READ).unwrap().max_age
        )


class TokenTest(unittest.TestCase):
    def test_round_trip(self):
        positions = {"g": Position(3, 17), "h": Position(1, 2)}
        self.assertEqual(
            decode_token(KEY, encode_token(KEY, positions)).unwrap(), positions
        )

    @STEADY
    @given(st.integers(0, 200), st.integers(1, 255))
    def test_any_changed_byte_is_refused(self, index, change):
        token = bytearray(encode_token(KEY, {"g": Position(3, 17)}).encode())
        place = index % len(token)
        token[place] ^= change
        result = decode_token(KEY, token.decode("latin-1"))
        if token != encode_token(KEY, {"g": Position(3, 17)}).encode():
            self.assertIsInstance(result.failure(), BadToken)


class ParameterTest(unittest.TestCase):
    def test_question_marks_in_literals_and_comments_are_not_parameters(self):
        sql = "SELECT '?', \"?\", `?`, ? /* ? it's */ FROM t WHERE a = ? # ?"
        self.assertEqual(len(split_parameters(sql)), 3)

    def test_every_form_of_comment_is_left_as_it_is(self):
        forms = ("-- ?\n", "--\t?\n", "--\x01?\n", "--\n", "#?\n", "/*?*/", "/*+ ?*/")
        for comment in (*forms, "/* ; ' ? */", "`a?``?`", "'\\'?'", '"\\"?"'):
            with self.subTest(comment):
                pieces = split_parameters(f"SELECT {comment} + ? --")
                self.assertEqual(pieces, (f"SELECT {comment} + ", " --"))
        self.assertEqual(split_parameters("SELECT 1--?"), ("SELECT 1--", ""))
        self.assertEqual(split_parameters("SELECT # \0?"), ("SELECT # \0", ""))

    def test_no_parameter_is_put_where_it_would_not_be_a_value(self):
        """Its value was inserted into an open string, where it can end the string."""
        for sql in (
            *("SELECT 'a ?", 'SELECT "a ?', "SELECT `a ?", "SELECT ? /* b"),
            *("SELECT /*! ? */", "SELECT /*!50000 1 */, ?", "SELECT 'a' ?"),
            *("SELECT ? 'a'", "SELECT 'a' /* b */ ?", "SELECT a?", "SELECT 1?"),
            *("SELECT ?1", "SELECT ?a", "SELECT @?", "SELECT ??", "SELECT ? ?"),
            *("SELECT _latin1 ?", "SELECT DATE ?", "SELECT N ?", "SELECT x?"),
        ):
            with self.subTest(sql), self.assertRaises(BadRequest):
                split_parameters(sql)

    def test_a_double_stays_a_double(self):
        """0.1 is a DECIMAL literal, which MySQL computes with exactly."""
        for value in (0.1, 1.0, -0.0, 1e16, 1e-7, 1.7976931348623157e308, 5e-324):
            with self.subTest(value):
                literal = make_literal(value)
                self.assertIn("e", literal)
                self.assertEqual(repr(float(literal)), repr(value))
        for value in (float("inf"), float("-inf"), float("nan")):
            with self.subTest(value), self.assertRaises(BadRequest):
                make_literal(value)

    @STEADY
    @given(st.text(st.characters(codec="utf-8", exclude_characters="\0")))
    def test_a_text_comes_back_as_it_was(self, text):
        engine = Engine()
        sql = bind(split_parameters("SELECT ?, '?'"), [text])
        self.assertEqual(engine.read(sql).rows, [(text, "?")])
        engine.close()


if __name__ == "__main__":
    unittest.main()
