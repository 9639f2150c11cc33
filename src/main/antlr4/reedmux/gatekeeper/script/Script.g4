/*
 * Grammar of the operators' settings scripts: a subset of Starlark in which every script terminates. It has no while
 * loops, no recursion and no I/O. IndentationTokenSource, a token source between the lexer and the parser, inserts the
 * INDENT and DEDENT tokens.
 */
grammar Script;

tokens { INDENT, DEDENT }

file: (NEWLINE | statement)* EOF;

statement: simple | definition | branch | loop;

simple: small (';' small)* ';'? NEWLINE;

small
    : 'return' tests?                       # returning
    | 'break'                               # breaking
    | 'continue'                            # continuing
    | 'pass'                                # passing
    | target op=('=' | '+=' | '-=' | '*=' | '//=' | '/=' | '%=') tests # assignment
    | tests                                 # expression
    ;

/** An assignment target: a name, an element, or several targets to unpack a sequence into. */
target: place (',' place)* ','?;

place: NAME | '(' target ')' | place '[' test ']';

definition: 'def' NAME '(' (parameter (',' parameter)* ','?)? ')' ':' suite;

parameter: NAME ('=' test)?;

branch: 'if' test ':' suite ('elif' test ':' suite)* otherwise?;

otherwise: 'else' ':' suite;

loop: 'for' target 'in' tests ':' suite;

suite: simple | NEWLINE INDENT statement+ DEDENT;

tests: test (',' test)* comma=','?;

test
    : atom                                                              # atomic
    | test '.' NAME                                                     # attribute
    | test '(' (argument (',' argument)* ','?)? ')'                     # call
    | test '[' test ']'                                                 # element
    | test '[' low=test? ':' high=test? ']'                             # slice
    | op=('-' | '+') test                                               # sign
    | test op=('*' | '/' | '//' | '%') test                             # product
    | test op=('+' | '-') test                                          # sum
    | test (op=('<' | '>' | '<=' | '>=' | '==' | '!=' | 'in') | 'not' op='in') test # comparison
    | 'not' test                                                        # negation
    | test 'and' test                                                   # conjunction
    | test 'or' test                                                    # disjunction
    | <assoc=right> test 'if' test 'else' test                          # choice
    ;

argument: (NAME '=')? test;

atom
    : NAME                                              # name
    | INTEGER                                           # integer
    | DECIMAL                                           # decimal
    | STRING+                                           # string
    | 'True'                                            # yes
    | 'False'                                           # no
    | 'None'                                            # none
    | '(' tests? ')'                                    # group
    | '[' test clause+ ']'                              # listOfEach
    | '[' (test (',' test)* ','?)? ']'                  # list
    | '{' entry clause+ '}'                             # dictOfEach
    | '{' (entry (',' entry)* ','?)? '}'                # dict
    ;

entry: test ':' test;

clause
    : 'for' target 'in' test    # each
    | 'if' test                 # filter
    ;

/** Python keywords that the language lacks, reserved so that their use is reported as unsupported. */
UNSUPPORTED
    : 'while' | 'lambda' | 'import' | 'load' | 'class' | 'try' | 'except' | 'raise' | 'with' | 'global'
    | 'yield' | 'del' | 'assert' | 'is' | 'async' | 'await' | 'nonlocal' | 'from' | 'finally' | 'as'
    ;

NAME: [a-zA-Z_] [a-zA-Z_0-9]*;
DECIMAL: [0-9]+ '.' [0-9]* EXPONENT? | '.' [0-9]+ EXPONENT? | [0-9]+ EXPONENT;
INTEGER: [0-9] [0-9_]* | '0x' [0-9a-fA-F]+;
STRING
    : '"""' (ESCAPE | ~[\\])*? '"""'
    | '"' (ESCAPE | ~["\\\r\n])* '"'
    | '\'' (ESCAPE | ~['\\\r\n])* '\''
    ;
NEWLINE: '\r'? '\n';
COMMENT: '#' ~[\r\n]* -> skip;
BLANK: ' '+ -> skip;
JOINED: '\\' '\r'? '\n' -> skip;
/** Any character that matches no other token, such as a tab, which may not be used for indentation. */
STRAY: . ;

fragment ESCAPE: '\\' .;
fragment EXPONENT: [eE] [+-]? [0-9]+;
