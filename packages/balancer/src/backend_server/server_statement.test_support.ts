/** Messages with statements, for tests. */
import {
  type ServerStatement,
  type StatementsOfMessage,
  StatementSource,
} from './server_statement.js';

/** Returns an answer that carries these statements. */
export function answerStating(
  ...statements: readonly ServerStatement[]
): StatementsOfMessage {
  return {
    source: StatementSource.Answer,
    statements,
    malformed: new Map(),
    isLimitUnreadable: false,
  };
}
